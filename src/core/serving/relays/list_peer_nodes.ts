import {ROSTER_INTERVAL_MS} from './roster_interval_ms.js';
import type {NodeId} from '../../ids/index.js';
import type {RosterNode, ServingState} from '../types.js';

/** Lists the other nodes known from digests or from rosters of relays, each with its most recent state. */
export function listPeerNodes(
  state: ServingState,
  nowMs: number,
): Map<NodeId, RosterNode> {
  const nodes = new Map<NodeId, RosterNode>();
  const add = (node: RosterNode) => {
    const existing = nodes.get(node.nodeId);
    if (node.nodeId === state.nodeId) return;
    if (!existing || node.ageMs < existing.ageMs) nodes.set(node.nodeId, node);
  };
  for (const {digest, atMs, roster, rosterAtMs} of state.peers.values()) {
    const {from, zone, callerAddress, coreCount, isReady, isLeaving} = digest;
    const {unreachableServices} = digest;
    const ageMs = nowMs - atMs;
    add({
      nodeId: from,
      zone,
      callerAddress,
      coreCount,
      isReady,
      isLeaving,
      ageMs,
      unreachableServices,
    });
    // Rosters are sent rarely; within that interval, a roster entry counts as up to date.
    for (const node of roster) {
      const sinceMs = Math.max(0, nowMs - rosterAtMs - ROSTER_INTERVAL_MS);
      add({...node, ageMs: node.ageMs + sinceMs + ageMs});
    }
  }
  return nodes;
}
