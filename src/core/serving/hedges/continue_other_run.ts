import type {RequestRecord, ServingStep} from '../types.js';
import {findRunTarget} from './find_run_target.js';
import {logDecision} from '../log_decision.js';

/** Goes on with the other run of a request of which one has failed. Returns false if there is none. */
export function continueOtherRun(
  step: ServingStep,
  record: RequestRecord,
): boolean {
  const {silentRun, request} = record;
  const isBack = silentRun !== undefined;
  if (silentRun) {
    record.attempt = silentRun.attempt;
    record.forward = silentRun.forward;
    record.silentRun = undefined;
  } else if (!record.attempt && !record.forward) {
    return false;
  }
  logDecision(step, 'info', 'requests', 'request goes on with its other run', {
    requestId: request.requestId,
    callerId: request.callerId,
    target: findRunTarget(record),
    isSilent: isBack,
  });
  return true;
}
