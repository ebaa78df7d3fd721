import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {SEND_DECAY_MS} from './send_decay_ms.js';
import {countCurrentNodes} from './count_current_nodes.js';
import {countRecent} from './count_recent.js';
import {findLimitPerS} from './find_limit_per_s.js';
import {resolveFleetSize} from '../fleet_size/index.js';
import {resolveRatePerS} from './resolve_rate_per_s.js';

const MS_PER_S = 1000;
/** Time for which a node decides once whether it may send to a limited engine. */
const SLOT_MS = 50;
/** Share of the free capacity that the fleet uses in one slot: more would overshoot before the digests tell of it. */
const CAPACITY_SHARE_PER_SLOT = 0.4;
/** Makes up for the capacity that stays free when only a share of it is used in each slot. */
const RATE_FACTOR = 1.2;

/**
 * Whether a limited engine can't take a request of this node now.
 *
 * All nodes count the recent sends of all, and each one sends by chance, the
 * less likely the less capacity is left: nodes that see the same free capacity
 * would otherwise all use it before they hear of each other.
 */
export function isLimitReached(
  state: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const limitPerS = findLimitPerS(state, vmId);
  if (limitPerS === undefined) return false;
  const {decisions} = state.rateLimits;
  const slot = Math.floor(nowMs / SLOT_MS);
  const decided = decisions.get(vmId);
  if (decided?.slot === slot) return !decided.isOpen;
  const count = 1 + countRecent(decided?.slots, nowMs);
  const chance = sendChance(state, vmId, limitPerS, nowMs);
  // The share of slots in which this node has a request stands for that of all.
  const slotShare = Math.min(1, (count * SLOT_MS) / SEND_DECAY_MS);
  const isOpen = state.random.next() * slotShare < chance;
  decisions.set(vmId, {slot, isOpen, slots: {count, atMs: nowMs}});
  return !isOpen;
}

/** Returns the probability with which this node may send in the current slot if all nodes have requests in all slots. */
function sendChance(
  state: ServingState,
  vmId: VmId,
  limitPerS: number,
  nowMs: number,
): number {
  const {ownSends, peerSends} = state.rateLimits;
  const nodeCount = countCurrentNodes(state, nowMs);
  // Nodes that are not heard use their own share.
  const heardShare =
    nodeCount / Math.max(nodeCount, resolveFleetSize(state) ?? 1);
  const ratePerS = RATE_FACTOR * heardShare * resolveRatePerS(limitPerS);
  const capacity = resolveCapacity(ratePerS);
  const sent =
    countRecent(ownSends.get(vmId), nowMs) +
    countRecent(peerSends.get(vmId)?.total, nowMs);
  const freeShare = Math.max(0, 1 - sent / capacity);
  const expected = CAPACITY_SHARE_PER_SLOT * Math.max(1, capacity) * freeShare;
  return expected / nodeCount;
}

/** Returns the count of recent sends just before each send when requests go out evenly at this rate. */
function resolveCapacity(ratePerS: number): number {
  return 1 / Math.expm1(MS_PER_S / (ratePerS * SEND_DECAY_MS));
}
