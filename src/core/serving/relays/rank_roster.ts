import type {RosterNode} from '../types.js';

/** Sorts nodes by preference for callers: first those that are ready and not leaving, then the largest. */
export function rankRoster(nodes: readonly RosterNode[]): RosterNode[] {
  const isAvailable = (node: RosterNode) => node.isReady && !node.isLeaving;
  return [...nodes].sort(
    (a, b) =>
      Number(isAvailable(b)) - Number(isAvailable(a)) ||
      b.coreCount - a.coreCount ||
      (a.nodeId < b.nodeId ? -1 : 1),
  );
}
