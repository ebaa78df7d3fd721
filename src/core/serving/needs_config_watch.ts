import type {ServingState} from './types.js';
import {isAwaitingPeers} from './relays/is_awaiting_peers.js';

/** A node asks the store itself when peers' proofs are older; half of the time that keys are let in without one. */
const TOLD_MS = 2000;
/** A peer that was heard within this time watches on. */
const FRESH_MS = 600;

/**
 * Whether this node has to watch the configuration in the store. One node a
 * zone watches; the others take its proofs, which spares calls of the store
 * and keeps callers let in where the store can't be reached.
 */
export function needsConfigWatch(state: ServingState, nowMs: number): boolean {
  if (!state.config) return !isAwaitingPeers(state, nowMs);
  if (nowMs - state.configProvenAtMs > TOLD_MS) return true;
  if (state.exchange.isRelayed) return state.exchange.relayRank === 0;
  for (const {digest, atMs} of state.peers.values()) {
    if (digest.zone !== state.zone || digest.isLeaving) continue;
    if (digest.from < state.nodeId && nowMs - atMs < FRESH_MS) return false;
  }
  return true;
}
