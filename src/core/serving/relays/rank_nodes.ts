import type {ListedNode} from '../types.js';

/** Orders nodes by size, the largest first: relays and stewards have the most to do. */
export function rankNodes(nodes: readonly ListedNode[]): ListedNode[] {
  return [...nodes].sort(
    (a, b) => b.coreCount - a.coreCount || (a.nodeId < b.nodeId ? -1 : 1),
  );
}
