import type {RequestRecord, ServingStep} from '../types.js';
import {findRetryDenial} from '../find_retry_denial.js';
import {selectTarget} from '../select_target.js';

/** Whether another target can take a stream up behind its last event now. Behind the last event of all, that gives no more events. */
export function canResume(step: ServingStep, record: RequestRecord): boolean {
  if (!record.route.isResumable) return false;
  if (findRetryDenial(step, record) !== undefined) return false;
  const placement = selectTarget(step, record);
  return placement?.canQueue === true && !placement.isSuspect;
}
