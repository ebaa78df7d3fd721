import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {cancelAttempt} from './cancel_attempt.js';
import {countMetric} from '../state/index.js';
import {createRefusal} from '../errors/index.js';
import {recordOnceOutcome} from '../once/index.js';
import {refuseRequest} from './refuse_request.js';
import {worseVerdict} from '../verdict/index.js';

/** Time that a run continues after its caller got the final answer, so that its outcome can be recorded. */
const DETACHED_MS = 60_000;
const RETRY_AFTER_MS = 1000;

/** Refuses every request whose deadline has passed; a run whose outcome must be recorded is detached. */
export function expireRequests(step: Step): void {
  for (const record of step.state.requests.deadlines.takeDue(step.nowMs)) {
    if (mustRecordOutcome(record)) detach(step, record);
    else expire(step, record);
  }
}

/** An unrepeatable run may still complete; a later request with its key then gets the stored response. */
function mustRecordOutcome(record: RequestRecord): boolean {
  const {info, phase, isDetached} = record;
  return info.unrepeatable && phase === 'running' && !isDetached;
}

function detach(step: Step, record: RequestRecord): void {
  const {requestId, service} = record.info;
  const verdict = worseVerdict(record.verdict, 'may-have-run');
  const options = {retryAfterMs: RETRY_AFTER_MS};
  const refusal = createRefusal('DeadlinePassed', verdict, options);
  record.isDetached = true;
  step.state.requests.deadlines.add(record, step.nowMs + DETACHED_MS);
  step.effects.push({type: 'refuse', requestId, refusal});
  countMetric(step, 'requests', 1, {service, verdict});
}

function expire(step: Step, record: RequestRecord): void {
  cancelAttempt(step, record);
  if (record.info.unrepeatable) recordOnceOutcome(step, record);
  const options = {retryAfterMs: RETRY_AFTER_MS};
  const refusal = createRefusal('DeadlinePassed', record.verdict, options);
  refuseRequest(step, record, refusal);
}
