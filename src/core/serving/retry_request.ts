import type {RequestRecord, ServingStep} from './types.js';
import {findRetryDenial} from './find_retry_denial.js';
import {queueRequest} from './queue_request.js';
import {refuseRequest} from './refuse_request.js';
import {retryAfterMs} from './retry_after_ms.js';

/** Retries a request whose attempt failed at another target, or refuses it when a retry is not allowed. */
export function retryRequest(step: ServingStep, record: RequestRecord): void {
  const denial = findRetryDenial(step, record);
  if (denial === undefined) {
    queueRequest(step, record);
    return;
  }
  refuseRequest(step, record, {
    reason: record.verdict === 'not-run' ? 'overloaded' : 'target-failed',
    retryAfterMs: retryAfterMs(step, record, undefined),
    retryDenial: denial,
  });
}
