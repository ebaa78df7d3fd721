import type {ServingState} from '../types.js';
import {REREGISTRATION_MS} from '../reregistration_ms.js';

/** Whether the store was restored from a backup so recently that entries it lost may not have been rewritten. */
export function isRestoring({restore}: ServingState, nowMs: number): boolean {
  return nowMs < restore.eraChangedAtMs + REREGISTRATION_MS;
}
