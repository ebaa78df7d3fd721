import type {NodeId} from '../ids/index.js';
import type {NodeState} from '../state/types.js';
import {hashText} from './hash_text.js';
import {livePeers} from './live_peers.js';

/** Live nodes in the order of their hashes; computed again only after a change. */
export function resolveRing(
  state: NodeState,
  nowMs: number,
): readonly NodeId[] {
  const {membership, self} = state;
  if (!membership.isRingStale) return membership.ring;
  const ids = livePeers(state, nowMs).map(peer => peer.nodeId);
  membership.ring = [...ids, self.nodeId]
    .map(nodeId => ({nodeId, hash: hashText(nodeId)}))
    .sort((a, b) => a.hash - b.hash)
    .map(({nodeId}) => nodeId);
  membership.isRingStale = false;
  return membership.ring;
}
