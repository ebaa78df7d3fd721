import type {ServingState} from './types.js';
import {findSteward} from './find_steward.js';
import {isAwaitingPeers} from './relays/is_awaiting_peers.js';
import {resolveProofAtMs} from './resolve_proof_at_ms.js';

/** Maximum age of the steward's read of the engines: two long polls of its watch, and less than the 2 s after which a leaving target must receive no more requests. */
const MAX_STEWARD_READ_AGE_MS = 1600;
/** Time in which the steward's next digests carry the changes of a lost one again. */
const MISMATCH_GRACE_MS = 250;
/** Longer grace period where a relay or the steward may still send its full list. */
const RELAYED_MISMATCH_GRACE_MS = 2000;

/** Maximum age of the engines for a node that receives them through relays: the steward's maximum, plus the time in which a second relay takes over from a lost one. */
const MAX_RELAYED_READ_AGE_MS = 2600;

/**
 * Whether this node has to watch the engines in the store. The steward does, and
 * forwards changes to its peers. Other nodes do only while the steward's read is
 * missing or too old, or while their engines keep differing from the steward's.
 */
export function needsFleetWatch(state: ServingState, nowMs: number): boolean {
  if (state.steward.term !== undefined) return true;
  if (!state.isFleetKnown) return !isAwaitingPeers(state, nowMs);
  const {isRelayed, relayRank} = state.exchange;
  if (isRelayed && relayRank < 0) return isRelayedFleetStale(state, nowMs);
  const steward = findSteward(state, nowMs);
  if (!steward) return true;
  const readAtMs = resolveProofAtMs(steward, steward.digest.fleetProofAgeMs);
  if (nowMs - readAtMs > MAX_STEWARD_READ_AGE_MS) return true;
  return isMismatchedFor(
    state,
    isRelayed ? RELAYED_MISMATCH_GRACE_MS : MISMATCH_GRACE_MS,
    nowMs,
  );
}

/** Whether the engines that a node receives through relays are too old or keep differing from the steward's. */
function isRelayedFleetStale(state: ServingState, nowMs: number): boolean {
  if (isAwaitingPeers(state, nowMs)) return false;
  if (nowMs - state.fleetProvenAtMs > MAX_RELAYED_READ_AGE_MS) return true;
  return isMismatchedFor(state, RELAYED_MISMATCH_GRACE_MS, nowMs);
}

function isMismatchedFor(
  {fleetMismatchSinceMs: sinceMs}: ServingState,
  ms: number,
  nowMs: number,
): boolean {
  return sinceMs !== undefined && nowMs - sinceMs > ms;
}
