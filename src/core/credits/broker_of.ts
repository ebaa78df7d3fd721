import type {GroupKey} from './group_key.js';
import type {NodeId} from '../ids/index.js';
import {hashText} from '../membership/index.js';

/** The broker of a group by rendezvous hash; views that differ make two brokers for a while. */
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
