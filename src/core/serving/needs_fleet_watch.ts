import type {ServingState} from './types.js';
import {findSteward} from './find_steward.js';
import {provenAtMs} from './proven_at_ms.js';

/** The steward's reading of the engines may be this old: two holds of its watch, and less than the 2 s after which a target that leaves must get nothing more. */
const TOLD_MS = 1600;
/** Time in which the steward's next digests bring what a lost one would have. */
const UNLIKE_MS = 250;

/**
 * Whether this node has to watch the engines in the store. The steward does,
 * and passes changes on; others do where its reading is missing or old, or their
 * engines stay different from its own.
 */
export function needsFleetWatch(state: ServingState, nowMs: number): boolean {
  if (!state.isFleetKnown || state.steward.term !== undefined) return true;
  const steward = findSteward(state, nowMs);
  if (!steward) return true;
  const readAtMs = provenAtMs(steward, steward.digest.fleetProofAgeMs);
  if (nowMs - readAtMs > TOLD_MS) return true;
  const {fleetUnlikeSinceMs} = state;
  return (
    fleetUnlikeSinceMs !== undefined && nowMs - fleetUnlikeSinceMs > UNLIKE_MS
  );
}
