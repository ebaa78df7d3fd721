import type {ServingState} from '../types.js';
import {RELIST_MS} from '../relist_ms.js';

/** Whether the store came back from a copy so lately that what it lost may not be written again. */
export function isRestoring({restore}: ServingState, nowMs: number): boolean {
  return nowMs < restore.sinceMs + RELIST_MS;
}
