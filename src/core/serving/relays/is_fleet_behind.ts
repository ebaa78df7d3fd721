import type {ServingState} from '../types.js';

/** Time in which the next digests bring the changes that a lost one held. */
const UNLIKE_MS = 300;

/** Whether this node lacks engines that others know, or knows others. */
export function isFleetBehind(state: ServingState, nowMs: number): boolean {
  if (!state.isFleetKnown) return true;
  const {fleetUnlikeSinceMs} = state;
  return (
    fleetUnlikeSinceMs !== undefined && nowMs - fleetUnlikeSinceMs > UNLIKE_MS
  );
}
