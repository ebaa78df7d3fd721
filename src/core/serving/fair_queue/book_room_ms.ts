import type {ServingState} from '../types.js';
import {estimateRatePerS} from './estimate_rate_per_s.js';
import {isPoolShared} from './is_pool_shared.js';

const MS_PER_S = 1000;

/**
 * Returns the time until a pool has room for a request that is refused now, and
 * takes that room; undefined while the rate of the pool is not known. Requests
 * that are refused together thus get successive times.
 */
export function bookRoomMs(
  state: ServingState,
  pool: string,
  nowMs: number,
): number | undefined {
  const work = state.fairQueue.pools.get(pool);
  if (!work || !isPoolShared(state, pool)) return undefined;
  const ratePerS = estimateRatePerS(state, pool, nowMs);
  if (ratePerS === undefined) return undefined;
  const waiting = state.waitingByPool.get(pool)?.length ?? 0;
  const drainedAtMs = nowMs + (waiting * MS_PER_S) / ratePerS;
  work.bookedUntilMs =
    Math.max(work.bookedUntilMs, drainedAtMs) + MS_PER_S / ratePerS;
  return work.bookedUntilMs - nowMs;
}
