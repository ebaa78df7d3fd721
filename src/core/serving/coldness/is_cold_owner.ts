import type {NodeId, VmId} from '../../ids/index.js';
import type {ServingState} from '../types.js';
import {rankOwners} from './rank_owners.js';

const OWNER_COUNT = 2;
/**
 * Time from a process's first read of the registry until it owns engines. Nodes
 * that start together have exchanged digests by then, and what an earlier process
 * of the node sent has left the window of the count.
 */
const SETTLE_MS = 1500;
/** How long a decision holds. */
const DECISION_MS = 50;

/** Whether this node is one of the few that may send to an engine while it is cold. */
export function isColdOwner(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const {ownership, registryReadAtMs} = state.coldness;
  if (registryReadAtMs === undefined) return false;
  if (nowMs - registryReadAtMs < SETTLE_MS) return false;
  if (!state.exchange.registeredNodes.has(state.nodeId)) return false;
  const decided = ownership.get(vmId);
  if (decided && nowMs - decided.atMs < DECISION_MS) return decided.isOwner;
  const owners = rankOwners(vmId, listCandidates(state)).slice(0, OWNER_COUNT);
  const isOwner = owners.includes(state.nodeId);
  ownership.set(vmId, {isOwner, atMs: nowMs});
  return isOwner;
}

/**
 * Lists the registered nodes and, where all nodes register, those that are known
 * by their digests only: they have registered since this node read the registry.
 * More candidates only take engines from a node.
 */
function listCandidates({exchange, peers}: ServingState) {
  const candidates = new Map<NodeId, {nodeId: NodeId; coreCount: number}>();
  if (!exchange.isRelayed) {
    for (const {digest} of peers.values()) {
      if (digest.scope !== 'node') continue;
      const {from: nodeId, coreCount} = digest;
      candidates.set(nodeId, {nodeId, coreCount});
    }
  }
  for (const node of exchange.registeredNodes.values()) {
    candidates.set(node.nodeId, node);
  }
  return candidates.values();
}
