import type {PoolWork} from './types.js';
import {countWork} from './count_work.js';

/** Share of a pool's work that is kept for each less urgent priority that waits. */
const GUARANTEED_SHARE = 0.1;
/**
 * A priority is served at least this fraction as often as all requests. The
 * requirement is a quarter; the rest covers requests that fail after dispatch.
 */
const SERVED_FRACTION = 0.3;

/** Whether a priority has had less than its guaranteed part of what this node admitted lately. */
export function needsGuarantee(
  {byPriority}: PoolWork,
  priority: number,
  nowMs: number,
): boolean {
  const use = byPriority.get(priority);
  if (!use) return false;
  let arrivals = 0;
  let dispatches = 0;
  let tokens = 0;
  for (const one of byPriority.values()) {
    arrivals += countWork(one.arrivals, nowMs);
    dispatches += countWork(one.dispatches, nowMs);
    tokens += countWork(one.tokens, nowMs);
  }
  const ownTokens = countWork(use.tokens, nowMs);
  if (ownTokens < GUARANTEED_SHARE * tokens) return true;
  const ownDispatches = countWork(use.dispatches, nowMs);
  const arrivalShare = countWork(use.arrivals, nowMs) / Math.max(1, arrivals);
  return ownDispatches < SERVED_FRACTION * arrivalShare * dispatches;
}
