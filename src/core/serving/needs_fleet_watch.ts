import type {ServingState} from './types.js';
import {findSteward} from './find_steward.js';
import {isAwaitingPeers} from './relays/is_awaiting_peers.js';
import {provenAtMs} from './proven_at_ms.js';

/** The steward's reading of the engines may be this old: two holds of its watch, and less than the 2 s after which a target that leaves must get nothing more. */
const TOLD_MS = 1600;
/** Time in which the steward's next digests bring what a lost one would have. */
const UNLIKE_MS = 250;
/** The same where a relay, or the steward, hands on its whole list first. */
const RELAYED_UNLIKE_MS = 2000;

/** How old the engines may be for a node that relays tell: as above, and the time in which a second relay takes over from a lost one. */
const RELAYED_TOLD_MS = 2600;

/**
 * Whether this node has to watch the engines in the store. The steward does,
 * and passes changes on; others do where its reading is missing or old, or their
 * engines stay different from its own.
 */
export function needsFleetWatch(state: ServingState, nowMs: number): boolean {
  if (state.steward.term !== undefined) return true;
  if (!state.isFleetKnown) return !isAwaitingPeers(state, nowMs);
  const {isRelayed, relayRank} = state.exchange;
  if (isRelayed && relayRank < 0) return isCutOff(state, nowMs);
  const steward = findSteward(state, nowMs);
  if (!steward) return true;
  const readAtMs = provenAtMs(steward, steward.digest.fleetProofAgeMs);
  if (nowMs - readAtMs > TOLD_MS) return true;
  return isUnlikeFor(state, isRelayed ? RELAYED_UNLIKE_MS : UNLIKE_MS, nowMs);
}

/** Whether a node that relays tell of engines hears of them no more, or wrongly. */
function isCutOff(state: ServingState, nowMs: number): boolean {
  if (isAwaitingPeers(state, nowMs)) return false;
  if (nowMs - state.fleetKnownAtMs > RELAYED_TOLD_MS) return true;
  return isUnlikeFor(state, RELAYED_UNLIKE_MS, nowMs);
}

function isUnlikeFor(
  {fleetUnlikeSinceMs}: ServingState,
  ms: number,
  nowMs: number,
): boolean {
  return fleetUnlikeSinceMs !== undefined && nowMs - fleetUnlikeSinceMs > ms;
}
