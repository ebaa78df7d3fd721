import type {GroupKey} from './group_key.js';
import type {NodeId} from '../ids/index.js';
import {hashText} from '../membership/index.js';

/** Chooses the broker of a group by rendezvous hash; nodes with different views may choose two for a while. */
export function brokerOf(group: GroupKey, nodes: readonly NodeId[]): NodeId {
  let best = nodes[0]!;
  let bestRank = -1;
  for (const nodeId of nodes) {
    const rank = hashText(`${group} ${nodeId}`);
    if (rank < bestRank || (rank === bestRank && nodeId > best)) continue;
    best = nodeId;
    bestRank = rank;
  }
  return best;
}
