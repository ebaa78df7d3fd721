import type {RecentCount} from '../rate_limits/types.js';
import {countWork} from './count_work.js';

/** Returns a decaying count with an amount added now. */
export function addWork(
  recent: RecentCount | undefined,
  amount: number,
  nowMs: number,
): RecentCount {
  return {count: countWork(recent, nowMs) + amount, atMs: nowMs};
}
