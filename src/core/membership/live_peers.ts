import type {NodeState} from '../state/types.js';
import type {Peer} from './peer.js';

const SUSPECT_AFTER_MS = 2500;

/** Peers heard of recently, in any phase. */
export function livePeers(state: NodeState, nowMs: number): Peer[] {
  return [...state.membership.peers.values()].filter(
    peer => nowMs - peer.heardAtMs < SUSPECT_AFTER_MS,
  );
}
