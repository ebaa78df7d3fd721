import type {AttemptFailure} from './attempt_failure.js';
import type {ErrorName} from '../errors/index.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {recordOnceOutcome} from '../once/index.js';
import {refuseRequest} from './refuse_request.js';

const RETRY_AFTER_MS = 1000;

/** Refuses a request after a failure that is not retried. */
export function giveUpRequest(
  step: Step,
  record: RequestRecord,
  failure: Pick<AttemptFailure, 'cause' | 'retryAfterMs'>,
): void {
  const {info, verdict} = record;
  if (info.unrepeatable) recordOnceOutcome(step, record);
  const refusal = createRefusal(errorName(record), verdict, {
    params: {service: info.service, cause: failure.cause},
    retryAfterMs: failure.retryAfterMs ?? RETRY_AFTER_MS,
  });
  refuseRequest(step, record, refusal);
}

function errorName({info, verdict}: RequestRecord): ErrorName {
  if (verdict === 'not-run') return 'NoTargetAvailable';
  return info.unrepeatable ? 'MayHaveRun' : 'TargetFailed';
}
