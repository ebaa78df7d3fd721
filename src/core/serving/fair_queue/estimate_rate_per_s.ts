import type {ServingState} from '../types.js';
import {countActiveNodes} from '../count_active_nodes.js';
import {countWork} from './count_work.js';
import {WORK_DECAY_MS} from './work_decay_ms.js';

const MS_PER_S = 1000;
/** Fewer recent dispatches say nothing about the rate. */
const MIN_DISPATCHES = 5;
/** Limit on the factor by which free slots raise the measured rate. */
const MAX_SLOT_FACTOR = 4;

/**
 * Estimates the requests per second that this node can dispatch to a pool;
 * undefined while too little is known.
 *
 * While the pool is full this is the measured rate of dispatches. Before, the
 * rate is that of the demand; it is raised by the ratio of this node's part of
 * the slots to those that it occupies.
 */
export function estimateRatePerS(
  state: ServingState,
  pool: string,
  nowMs: number,
): number | undefined {
  const work = state.fairQueue.pools.get(pool);
  const dispatches = countWork(work?.dispatches, nowMs);
  if (!work || dispatches < MIN_DISPATCHES) return undefined;
  let slots = 0;
  let ownInFlight = 0;
  for (const {vmId, slotCount} of state.targetsByPool.get(pool) ?? []) {
    slots += slotCount;
    ownInFlight += state.targetLoads.get(vmId)?.inFlight ?? 0;
  }
  if (ownInFlight === 0) return undefined;
  const ownSlots = slots / countActiveNodes(state, nowMs);
  const slotFactor = Math.max(1, ownSlots / ownInFlight);
  // A count that began recently has not reached its final value.
  const seenShare =
    1 - Math.exp(-(nowMs - work.countedSinceMs) / WORK_DECAY_MS);
  const measuredPerS = (dispatches * MS_PER_S) / (WORK_DECAY_MS * seenShare);
  return measuredPerS * Math.min(MAX_SLOT_FACTOR, slotFactor);
}
