import type {AttemptFailure} from './attempt_failure.js';
import type {EventOf} from '../events/types.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {closeAttempt} from './close_attempt.js';
import {giveUpRequest} from './give_up_request.js';
import {noteOnceUndispatched} from '../once/index.js';
import {requeueRequest} from '../admission/index.js';
import {takeRetry} from '../limits/index.js';
import {worseVerdict} from '../verdict/index.js';

const MAX_ATTEMPTS = 5;

/** Retries a request after a failed attempt, or refuses it with its verdict. */
export function failAttempt(step: Step, event: EventOf<'attemptFailed'>): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  if (!record) return;
  const {failure, tokens} = event;
  const {targetId} = record.attempt!;
  closeAttempt(step, record, {kind: 'failed', tokens, failure});
  record.failedTargets.add(targetId);
  record.verdict = worseVerdict(record.verdict, failure.verdict);
  record.deliveredTokens += tokens;
  if (event.unresumable || !mayRetry(step, record, failure)) {
    giveUpRequest(step, record, failure);
    return;
  }
  record.phase = 'queued';
  record.requeuedAtMs = step.nowMs;
  if (record.info.unrepeatable) noteOnceUndispatched(step, record);
  requeueRequest(step, record);
}

function mayRetry(
  step: Step,
  record: RequestRecord,
  failure: AttemptFailure,
): boolean {
  const {info} = record;
  if (record.isDetached || step.nowMs >= info.deadlineAtMs) return false;
  if (info.unrepeatable && record.verdict !== 'not-run') return false;
  const isResumable = info.kind === 'model' && info.stream;
  if (record.deliveredTokens > 0 && !isResumable) return false;
  if (failure.cause === 'protocol' || record.attempts >= MAX_ATTEMPTS) {
    return false;
  }
  return hasTargetToTry(step, record, failure) && takeRetry(step, info);
}

/** Whether a target remains that has not failed this request, or a failed one may be tried again. */
function hasTargetToTry(
  step: Step,
  {failedTargets, info}: RequestRecord,
  failure: AttemptFailure,
): boolean {
  const {byService} = step.state.targets;
  for (const targetId of byService.get(info.service) ?? []) {
    if (!failedTargets.has(targetId)) return true;
  }
  // A target that does not accept requests now must not be retried immediately.
  if (failure.verdict === 'not-run') return false;
  failedTargets.clear();
  return true;
}
