import type {RecentCount} from '../rate_limits/types.js';
import {decayWork} from './decay_work.js';

/** Returns a decaying count of work as of now; 0 if there is none. */
export function countWork(
  recent: RecentCount | undefined,
  nowMs: number,
): number {
  return recent ? decayWork(recent.count, nowMs - recent.atMs) : 0;
}
