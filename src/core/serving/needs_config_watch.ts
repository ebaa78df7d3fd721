import type {ServingState} from './types.js';
import {isEvacuationKnown, isEvacuationStale} from './evacuation/index.js';
import {isAwaitingPeers} from './relays/is_awaiting_peers.js';

/** A node watches the store itself when peers' proofs are older; half of the time for which API keys are accepted without a new proof. */
const MAX_PEER_PROOF_AGE_MS = 2000;
/** A peer whose last digest is younger than this is assumed to be watching still. */
const PEER_MAX_AGE_MS = 600;

/**
 * Whether this node has to watch the configuration, and the evacuations beside it, in the store. One node per
 * zone watches, and the others use the proofs in its digests. This saves store calls,
 * and callers are still accepted at nodes that can't reach the store.
 */
export function needsConfigWatch(state: ServingState, nowMs: number): boolean {
  if (!state.config || !isEvacuationKnown(state)) {
    return !isAwaitingPeers(state, nowMs);
  }
  if (nowMs - state.configProvenAtMs > MAX_PEER_PROOF_AGE_MS) return true;
  if (isEvacuationStale(state, nowMs, MAX_PEER_PROOF_AGE_MS)) return true;
  if (state.exchange.isRelayed) return state.exchange.relayRank === 0;
  for (const {digest, atMs} of state.peers.values()) {
    if (digest.zone !== state.zone || digest.isLeaving) continue;
    if (digest.from < state.nodeId && nowMs - atMs < PEER_MAX_AGE_MS)
      return false;
  }
  return true;
}
