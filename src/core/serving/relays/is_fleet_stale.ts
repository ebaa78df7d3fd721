import type {ServingState} from '../types.js';

/** Time in which the next digests carry the changes of a lost one again. */
const MAX_MISMATCH_MS = 300;

/** Whether this node's engine records are missing, or have differed from the steward's for longer than lost digests explain. */
export function isFleetStale(state: ServingState, nowMs: number): boolean {
  if (!state.isFleetKnown) return true;
  const {fleetMismatchSinceMs} = state;
  return (
    fleetMismatchSinceMs !== undefined &&
    nowMs - fleetMismatchSinceMs > MAX_MISMATCH_MS
  );
}
