import type {RequestRecord, ServingState} from '../types.js';

/** Whether a request could be sent to a target that has not had it, if that target were heard again. */
export function isAwaitingSign(
  {poolSigns, targetsByPool, targetLoads}: ServingState,
  {pool, triedTargets}: RequestRecord,
): boolean {
  const isWholePool = poolSigns.get(pool)?.silentSinceMs !== undefined;
  return (targetsByPool.get(pool) ?? []).some(
    ({vmId}) =>
      !triedTargets.has(vmId) &&
      (isWholePool || targetLoads.get(vmId)?.silentSinceMs !== undefined),
  );
}
