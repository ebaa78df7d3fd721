import {ROSTER_MS} from './roster_ms.js';
import type {NodeId} from '../../ids/index.js';
import type {RosterNode, ServingState} from '../types.js';

/** The other nodes that this node hears, or hears of. */
export function listNodes(
  state: ServingState,
  nowMs: number,
): Map<NodeId, RosterNode> {
  const nodes = new Map<NodeId, RosterNode>();
  const add = (node: RosterNode) => {
    const known = nodes.get(node.nodeId);
    if (node.nodeId === state.nodeId) return;
    if (!known || node.ageMs < known.ageMs) nodes.set(node.nodeId, node);
  };
  for (const {digest, atMs, roster, rosterAtMs} of state.peers.values()) {
    const {from, zone, callerAddress, coreCount, isReady, isLeaving} = digest;
    const ageMs = nowMs - atMs;
    add({
      nodeId: from,
      zone,
      callerAddress,
      coreCount,
      isReady,
      isLeaving,
      ageMs,
    });
    // The roster is told seldom; what the relay heard last is not older for that.
    for (const node of roster) {
      const sinceMs = Math.max(0, nowMs - rosterAtMs - ROSTER_MS);
      add({...node, ageMs: node.ageMs + sinceMs + ageMs});
    }
  }
  return nodes;
}
