import {err, ok} from 'neverthrow';
import type {EventOf} from '../events/types.js';
import type {RequestInfo} from './request_info.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {beginOnce} from '../once/index.js';
import {checkCaller} from './check_caller.js';
import {checkLimits} from '../limits/index.js';
import {checkQuarantine} from '../quarantine/index.js';
import {checkRequest} from './check_request.js';
import {queueRequest} from './queue_request.js';

/** Admits a request, or refuses it with the verdict `not-run`. */
export function arriveRequest(
  step: Step,
  {request}: EventOf<'requestArrived'>,
): void {
  const {requests} = step.state;
  const {requestId} = request;
  const refused = checkCaller(step.state, request.tokenSha256, step.nowMs);
  if (refused) {
    step.effects.push({type: 'refuse', requestId, ...refused});
    return;
  }
  const checked = checkRequest(step, request).andThen(info => {
    const refusal = checkQuarantine(step, info) ?? checkLimits(step, info);
    return refusal ? err(refusal) : ok(info);
  });
  if (checked.isErr()) {
    step.effects.push({type: 'refuse', requestId, refusal: checked.error});
    return;
  }
  const record = createRecord(checked.value, step.nowMs);
  requests.byId.set(requestId, record);
  requests.deadlines.add(record, record.info.deadlineAtMs);
  if (record.info.unrepeatable) beginOnce(step, record);
  else queueRequest(step, record);
}

function createRecord(info: RequestInfo, nowMs: number): RequestRecord {
  return {
    info,
    phase: 'claiming',
    verdict: 'not-run',
    failedTargets: new Set(),
    attempts: 0,
    pauseCount: 0,
    deliveredTokens: 0,
    queuedAtMs: nowMs,
    requeuedAtMs: nowMs,
  };
}
