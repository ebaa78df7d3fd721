import type {RequestRecord, ServingState} from '../types.js';

/** Whether a request could be sent to a target that has not had it, if that target's slow start were over. */
export function isPaceLimited(
  {pace, targetsByPool}: ServingState,
  {pool, triedTargets}: RequestRecord,
): boolean {
  return (targetsByPool.get(pool) ?? []).some(({vmId}) => {
    const record = pace.records.get(vmId);
    return record && !record.hasRecovered && !triedTargets.has(vmId);
  });
}
