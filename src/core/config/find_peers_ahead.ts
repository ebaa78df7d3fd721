import type {NodeId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import {livePeers} from '../membership/index.js';

/** Returns the live peers whose configuration revision is higher than this node's. */
export function findPeersAhead(state: NodeState, nowMs: number): NodeId[] {
  const {revision} = state.config.document;
  return livePeers(state, nowMs)
    .filter(peer => peer.configRevision > revision)
    .map(peer => peer.nodeId);
}
