import type {ServingState} from '../types.js';
import {RELIST_MS} from '../relist_ms.js';

/** Whether all entries that a restore brought back have been rewritten or have expired. */
export function isSettled(
  {restore, bounds}: ServingState,
  nowMs: number,
): boolean {
  return nowMs >= restore.sinceMs + RELIST_MS + bounds.listingMs;
}
