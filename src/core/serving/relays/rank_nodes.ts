import type {RegisteredNode} from '../types.js';

/** Sorts nodes by cores, the largest first, then by id: relays and stewards have the most work. */
export function rankNodes(nodes: readonly RegisteredNode[]): RegisteredNode[] {
  return [...nodes].sort(
    (a, b) => b.coreCount - a.coreCount || (a.nodeId < b.nodeId ? -1 : 1),
  );
}
