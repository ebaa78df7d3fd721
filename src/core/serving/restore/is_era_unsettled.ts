import type {ServingState} from '../types.js';
import {REREGISTRATION_MS} from '../reregistration_ms.js';

/** Whether the store may have been restored so shortly before this node started that at `atMs` it still lacked the operator's last writes. */
export function isEraUnsettled({restore}: ServingState, atMs: number): boolean {
  const {era, firstEraAtMs, settledEra} = restore;
  if (firstEraAtMs === undefined || settledEra === era) return false;
  return atMs < firstEraAtMs + REREGISTRATION_MS;
}
