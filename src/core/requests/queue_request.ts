import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {enqueueRequest} from '../admission/index.js';
import {recordOnceOutcome} from '../once/index.js';
import {refuseRequest} from './refuse_request.js';

/** Queues a request: on arrival or, when unrepeatable, once its idempotency key is claimed. */
export function queueRequest(step: Step, record: RequestRecord): void {
  record.phase = 'queued';
  record.queuedAtMs = step.nowMs;
  record.requeuedAtMs = step.nowMs;
  const refusal = enqueueRequest(step, record);
  if (!refusal) return;
  if (record.info.unrepeatable) recordOnceOutcome(step, record);
  refuseRequest(step, record, refusal);
}
