import type {ServingState} from '../types.js';

/** Whether all targets of a pool are in evacuated zones. */
export function isPoolEvacuated(
  {evacuation, targetsByPool}: ServingState,
  pool: string,
): boolean {
  return evacuation.evacuatedPools.has(pool) && !targetsByPool.has(pool);
}
