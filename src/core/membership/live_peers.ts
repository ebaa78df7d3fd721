import type {NodeState} from '../state/types.js';
import type {Peer} from './peer.js';
import {isSuspected} from './is_suspected.js';

/** Peers that are not suspected, in any phase. */
export function livePeers(state: NodeState, nowMs: number): Peer[] {
  return [...state.membership.peers.values()].filter(
    peer => !isSuspected(peer, nowMs),
  );
}
