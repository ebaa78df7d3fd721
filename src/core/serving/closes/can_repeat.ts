import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import {findRetryDenial} from '../find_retry_denial.js';
import {selectTarget} from '../select_target.js';

/** Whether another target can take a request now whose attempt closed, if it may run again, or is running it since this attempt fell silent. A stream that goes on behind its last event of all has no more events there. */
export function canRepeat(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
): boolean {
  if (record.silentRun?.attempt === attempt) return true;
  if (findRetryDenial(step, record) !== undefined) return false;
  const placement = selectTarget(step, record);
  return placement?.canQueue === true && !placement.isSuspect;
}
