import {err, ok} from 'neverthrow';
import type {AttemptFailure} from './attempt_failure.js';
import type {AttemptResult} from '../routing/types.js';
import type {EventOf, NodeEvent} from '../events/types.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {beginOnce, noteOnceOver} from '../once/index.js';
import {checkCaller} from './check_caller.js';
import {checkLimits, takeRetry} from '../limits/index.js';
import {checkQuarantine, noteRanToEnd} from '../quarantine/index.js';
import {checkRequest} from './check_request.js';
import {claimWon} from './claim_won.js';
import {countMetric} from '../state/index.js';
import {createRefusal} from '../errors/index.js';
import {forgetRequest} from './forget_request.js';
import {noteAttemptOver, noteFirstToken} from '../routing/index.js';
import {refuseRequest} from './refuse_request.js';
import {requeueRequest} from '../admission/index.js';
import {worseVerdict} from '../verdict/index.js';

/** The life of requests: arrival, attempts, retries, final answers. */
export function reduceRequests(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'requestArrived':
      return arrive(step, event);
    case 'callerGone':
      return leave(step, event);
    case 'attemptFirstToken':
    case 'attemptProgress':
      return progress(step, event);
    case 'attemptEnded':
      return end(step, event);
    case 'attemptFailed':
      return fail(step, event);
    case 'tick':
      return expire(step);
    default:
  }
}

function arrive(step: Step, {request}: EventOf<'requestArrived'>): void {
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
  const record: RequestRecord = {
    info: checked.value,
    phase: 'claiming',
    verdict: 'not-run',
    failedTargets: new Set(),
    attempts: 0,
    pauses: 0,
    deliveredTokens: 0,
    queuedAtMs: step.nowMs,
    requeuedAtMs: step.nowMs,
  };
  requests.byId.set(requestId, record);
  if (record.info.unrepeatable) beginOnce(step, record);
  else claimWon(step, record);
}

function leave(step: Step, {requestId}: EventOf<'callerGone'>): void {
  const record = step.state.requests.byId.get(requestId);
  if (!record) return;
  if (record.phase !== 'running') {
    if (record.info.unrepeatable) noteOnceOver(step, record);
    forgetRequest(step, record);
    return;
  }
  // An unrepeatable request runs to its end, so that its outcome can be recorded.
  if (record.info.unrepeatable) return;
  const {attemptId} = record.attempt!;
  closeAttempt(step, record, {kind: 'cancelled', tokens: 0});
  step.effects.push({type: 'cancelAttempt', attemptId});
  forgetRequest(step, record);
}

function progress(
  step: Step,
  event: EventOf<'attemptFirstToken'> | EventOf<'attemptProgress'>,
): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  const attempt = record?.attempt;
  if (!attempt) return;
  if (event.type === 'attemptProgress') {
    attempt.tokens = event.tokens;
    return;
  }
  attempt.firstTokenAtMs = step.nowMs;
  noteFirstToken(step, record);
  const {info} = record;
  if (record.deliveredTokens > 0) return;
  const waitedMs = step.nowMs - info.arrivedAtMs;
  countMetric(step, 'firstTokenMs', waitedMs, {service: info.service});
}

function end(step: Step, event: EventOf<'attemptEnded'>): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  if (!record) return;
  closeAttempt(step, record, {kind: 'ended', tokens: event.tokens});
  noteRanToEnd(step, record.info);
  if (record.info.unrepeatable) noteOnceOver(step, record, event);
  forgetRequest(step, record);
  const {requestId, service} = record.info;
  step.effects.push({type: 'finishAnswer', requestId});
  countMetric(step, 'requests', 1, {service, verdict: 'ran'});
}

function fail(step: Step, event: EventOf<'attemptFailed'>): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  if (!record) return;
  const {failure, tokens} = event;
  const {targetId} = record.attempt!;
  closeAttempt(step, record, {kind: 'failed', tokens, failure});
  record.failedTargets.add(targetId);
  record.verdict = worseVerdict(record.verdict, failure.verdict);
  record.deliveredTokens += tokens;
  if (!event.unresumable && mayRetry(step, record, failure)) {
    record.phase = 'queued';
    record.requeuedAtMs = step.nowMs;
    requeueRequest(step, record);
    return;
  }
  if (record.info.unrepeatable) noteOnceOver(step, record);
  refuseRequest(step, record, failureRefusal(record, failure));
}

function mayRetry(
  step: Step,
  record: RequestRecord,
  failure: AttemptFailure,
): boolean {
  const {info} = record;
  if (step.nowMs >= info.deadlineAtMs) return false;
  if (info.unrepeatable && record.verdict !== 'not-run') return false;
  const resumable = info.kind === 'model' && info.stream;
  if (record.deliveredTokens > 0 && !resumable) return false;
  if (failure.cause === 'protocol') return false;
  return takeRetry(step, info);
}

function failureRefusal(record: RequestRecord, failure: AttemptFailure) {
  const name =
    record.verdict === 'not-run'
      ? 'NoTargetAvailable'
      : record.info.unrepeatable
        ? 'MayHaveRun'
        : 'TargetFailed';
  return createRefusal(name, record.verdict, {
    params: {service: record.info.service, cause: failure.cause},
    retryAfterMs: 1000,
  });
}

function closeAttempt(
  step: Step,
  record: RequestRecord,
  result: AttemptResult,
): void {
  noteAttemptOver(step, record, result);
  step.state.requests.byAttempt.delete(record.attempt!.attemptId);
  delete record.attempt;
}

function expire(step: Step): void {
  for (const record of step.state.requests.byId.values()) {
    if (step.nowMs < record.info.deadlineAtMs) continue;
    if (record.phase === 'running') {
      const {attemptId} = record.attempt!;
      closeAttempt(step, record, {kind: 'cancelled', tokens: 0});
      step.effects.push({type: 'cancelAttempt', attemptId});
      record.verdict = worseVerdict(record.verdict, 'may-have-run');
    }
    if (record.info.unrepeatable) noteOnceOver(step, record);
    const refusal = createRefusal('DeadlinePassed', record.verdict);
    refuseRequest(step, record, refusal);
  }
}
