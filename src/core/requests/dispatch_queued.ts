import type {AttemptId} from '../ids/index.js';
import type {Dispatch} from '../admission/types.js';
import type {ErrorName} from '../errors/index.js';
import type {RequestInfo} from './request_info.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {isTooLate, nextDispatches} from '../admission/index.js';
import {countMetric, nextId} from '../state/index.js';
import {noteDispatched} from '../routing/index.js';
import {noteOnceDispatched, recordOnceOutcome} from '../once/index.js';
import {openAttempt} from './open_attempt.js';
import {pauseRequests} from './pause_requests.js';
import {refuseRequest} from './refuse_request.js';

const RETRY_AFTER_MS = 1000;

/** Starts every queued request for which a target has a free slot; runs after each event. */
export function dispatchQueued(step: Step): void {
  for (;;) {
    const dispatches = nextDispatches(step);
    if (dispatches.length === 0 && !pauseRequests(step)) return;
    for (const dispatch of dispatches) {
      if (mayStart(step, dispatch)) startAttempt(step, dispatch);
    }
  }
}

/** A request that could not complete before its deadline is refused instead of occupying a slot. */
function mayStart(step: Step, {record}: Dispatch): boolean {
  const {info, verdict} = record;
  const isLate = isTooLate(step, record);
  if (!isLate && (!info.unrepeatable || noteOnceDispatched(step, record))) {
    return true;
  }
  const name = isLate ? lateErrorName(step, info) : 'AlreadyRunning';
  if (info.unrepeatable) recordOnceOutcome(step, record);
  const options = {retryAfterMs: RETRY_AFTER_MS};
  refuseRequest(step, record, createRefusal(name, verdict, options));
  return false;
}

function lateErrorName(step: Step, info: RequestInfo): ErrorName {
  const hasPassed = step.nowMs >= info.deadlineAtMs;
  return hasPassed ? 'DeadlinePassed' : 'DeadlineUnreachable';
}

function startAttempt(step: Step, {record, target}: Dispatch): void {
  const {info} = record;
  const {targetId, address} = target;
  const attemptId = nextId<AttemptId>(step, 'at');
  openAttempt(step, record, attemptId, targetId);
  noteDispatched(step, record, target);
  if (record.attempts === 1) {
    const {service, arrivedAtMs} = info;
    countMetric(step, 'queueMs', step.nowMs - arrivedAtMs, {service});
  }
  step.effects.push({
    type: 'startAttempt',
    requestId: info.requestId,
    attemptId,
    targetId,
    address,
    freshConnection: info.unrepeatable,
    resume: record.deliveredTokens > 0,
    priority: info.priority,
    deadlineAtMs: info.deadlineAtMs,
  });
}
