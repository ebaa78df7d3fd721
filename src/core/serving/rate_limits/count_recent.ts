import type {RecentCount} from './types.js';
import {decayCount} from './decay_count.js';

/** Returns a decaying count as of now; 0 if there is none. */
export function countRecent(
  recent: RecentCount | undefined,
  nowMs: number,
): number {
  return recent ? decayCount(recent.count, nowMs - recent.atMs) : 0;
}
