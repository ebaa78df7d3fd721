import type {ServingState} from '../types.js';
import {REREGISTRATION_MS} from '../reregistration_ms.js';

/** Whether all entries that a restore brought back have been rewritten or have expired. */
export function isRestoreComplete(
  {restore, bounds}: ServingState,
  nowMs: number,
): boolean {
  return nowMs >= restore.eraChangedAtMs + REREGISTRATION_MS + bounds.listingMs;
}
