import type {ServingState} from '../types.js';

/** Counts the targets of a pool that requests do not go to for their silence. */
export function countSilent(
  {poolSigns, targetsByPool, targetLoads}: ServingState,
  pool: string,
): number {
  const targets = targetsByPool.get(pool) ?? [];
  if (poolSigns.get(pool)?.silentSinceMs !== undefined) return targets.length;
  return targets.filter(
    ({vmId}) => targetLoads.get(vmId)?.silentSinceMs !== undefined,
  ).length;
}
