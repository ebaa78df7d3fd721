import type {ModelReallocation} from './types.js';
import type {ModelSpec} from '../fleet/types.js';
import type {ServingState} from '../serving/types.js';
import {measureUse} from './measure_use.js';

/** Share of slots in use from which a model counts as full: above it, requests are no longer spread evenly. */
const FULL_SHARE = 0.8;

/**
 * Whether a reallocation leaves the donor model no busier than the recipient.
 * The configured work shares say nothing about the current load: without this
 * check, a model could lose replicas during its own traffic peak.
 */
export function isReallocationBalanced(
  state: ServingState,
  recipient: ModelSpec,
  donor: ModelSpec,
  {replicasToClose}: ModelReallocation,
  slotCount: number,
): boolean {
  const from = measureUse(state, donor);
  const to = measureUse(state, recipient);
  if (from.inFlight === 0) return true;
  const donorReplicasAfter = from.replicas - replicasToClose.length;
  if (donorReplicasAfter < 1) return false;
  const donorLoadAfter = from.inFlight / (donorReplicasAfter * slotCount);
  // Requests queued for a full model are not part of its in-flight count.
  const isFull = to.inFlight >= FULL_SHARE * to.replicas * slotCount;
  if (isFull && donorLoadAfter < FULL_SHARE) return true;
  return to.inFlight / ((to.replicas + 1) * slotCount) >= donorLoadAfter;
}
