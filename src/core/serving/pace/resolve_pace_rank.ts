import type {NodeId, VmId} from '../../ids/index.js';
import type {PaceRank} from './types.js';
import type {ServingState} from '../types.js';
import {listPeerNodes} from '../relays/list_peer_nodes.js';
import {rankOwners} from '../coldness/rank_owners.js';
import {resolvePeerMaxAgeMs} from '../resolve_peer_max_age_ms.js';

/** How long a rank holds; it costs a hash for each node. */
const RANK_MS = 200;

/**
 * Returns this node's place among the nodes that share a target's window. The
 * nodes divide the window by rank, so that together they keep to it whatever the
 * delay of their digests.
 */
export function resolvePaceRank(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): PaceRank {
  const {ranks} = state.pace;
  const known = ranks.get(vmId);
  if (known && nowMs - known.atMs < RANK_MS) return known;
  const {nodeId, coreCount} = state;
  const maxAgeMs = resolvePeerMaxAgeMs(state);
  const nodes = new Map<NodeId, {nodeId: NodeId; coreCount: number}>([
    [nodeId, {nodeId, coreCount}],
  ]);
  for (const node of listPeerNodes(state, nowMs).values()) {
    if (node.ageMs < maxAgeMs) nodes.set(node.nodeId, node);
  }
  const ranked = rankOwners(vmId, nodes.values());
  const rank = {
    rank: ranked.indexOf(nodeId),
    nodeCount: ranked.length,
    atMs: nowMs,
  };
  ranks.set(vmId, rank);
  return rank;
}
