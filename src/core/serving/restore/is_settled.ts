import type {ServingState} from '../types.js';
import {RELIST_MS} from '../relist_ms.js';

/** Whether all that a copy brought back is written again by now, or has lapsed. */
export function isSettled(
  {restore, bounds}: ServingState,
  nowMs: number,
): boolean {
  return nowMs >= restore.sinceMs + RELIST_MS + bounds.listingMs;
}
