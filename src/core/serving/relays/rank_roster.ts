import type {RosterNode} from '../types.js';

/** Orders nodes as callers are sent to them: those that are ready, the largest first. */
export function rankRoster(nodes: readonly RosterNode[]): RosterNode[] {
  const isOpen = (node: RosterNode) => node.isReady && !node.isLeaving;
  return [...nodes].sort(
    (a, b) =>
      Number(isOpen(b)) - Number(isOpen(a)) ||
      b.coreCount - a.coreCount ||
      (a.nodeId < b.nodeId ? -1 : 1),
  );
}
