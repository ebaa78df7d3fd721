import type {AttemptFault} from './events.js';
import type {AttemptId, VmId} from '../ids/index.js';
import type {ServingStep} from './types.js';
import {count} from './count.js';
import {recordColdFailure} from './coldness/index.js';
import {dispatchWaiting} from './dispatch_waiting.js';
import {endAttempt} from './end_attempt.js';
import {chooseRun, continueOtherRun, findAttempt} from './hedges/index.js';
import {removeRequest} from './remove_request.js';
import {logDecision} from './log_decision.js';
import {MAX_WAIT_MS} from './closes/max_wait_ms.js';
import {recordPaceEvent, startRecovery} from './pace/index.js';
import {refuseRequest} from './refuse_request.js';
import {recordDuration} from './record_duration.js';
import {recordEventGap} from './record_event_gap.js';
import {retryBudget} from './retries/index.js';
import {retryRequest} from './retry_request.js';
import {crashDetection, recordAnswer, recordSurvival} from './crashes/index.js';
import {recordUnreachable, resolvePath} from './reachability/index.js';
import {markTargetSuspect} from './mark_target_suspect.js';
import {resolveTargetLoad} from './resolve_target_load.js';
import {recordHeard, recordStarted, withdrawUnheard} from './silence/index.js';

interface Failure {
  readonly fault: AttemptFault;
  readonly status?: number;
  readonly faultyVmId?: VmId;
  readonly detail?: string;
}

/** Enough to see that a target sends events one after the other. */
const MAX_RECENT_EVENTS = 8;

interface Progress {
  readonly eventCount: number;
  readonly isDelayed?: boolean;
}

interface AttemptEnd {
  readonly status: number;
  readonly bodyEnd?: string;
}

/** Consecutive failures after which a target becomes suspect, for faults of which one alone is not reason enough. */
const FAILURES_TO_SUSPECT = 2;
/** How long a target is suspect after it refused a request, was unreachable, or failed repeatedly. */
const REFUSED_SUSPECT_MS = 150;
const UNREACHABLE_SUSPECT_MS = 1000;
const BROKEN_SUSPECT_MS = 500;

/** Handles the events of an attempt: progress, end and failure. */
export const attemptHandlers = {
  progress(
    step: ServingStep,
    attemptId: AttemptId,
    {eventCount, isDelayed}: Progress,
  ): void {
    const found = findAttempt(step.state, attemptId);
    if (!found) return;
    const {record, attempt} = found;
    chooseRun(step, record, attemptId);
    const load = resolveTargetLoad(step.state, attempt.vmId);
    const hasStarted = attempt.startedAtMs !== undefined;
    if (hasStarted) {
      recordSurvival(step, record, attempt);
      const gapMs = (step.nowMs - attempt.progressAtMs) / eventCount;
      const isRead = attempt.progressAtMs >= step.state.resumedAtMs;
      if (isRead) recordEventGap(step, attempt.vmId, gapMs);
      count(step, 'eventGapMs', step.nowMs - attempt.progressAtMs, {
        service: record.service,
      });
    }
    attempt.progressAtMs = step.nowMs;
    if (isDelayed) attempt.isDelayed = true;
    if (step.nowMs - load.closedAtMs < MAX_WAIT_MS) {
      const earlier = attempt.recentProgressAtMs ?? [];
      attempt.recentProgressAtMs = [
        ...earlier.slice(1 - MAX_RECENT_EVENTS),
        step.nowMs,
      ];
    }
    resolvePath(step.state, record.service).progressAtMs = step.nowMs;
    load.progressAtMs = step.nowMs;
    const isHeardAgain = recordHeard(step, record.pool, attempt.vmId);
    load.suspectUntilMs = -Infinity;
    load.consecutiveFailures = 0;
    if (hasStarted) {
      if (isHeardAgain) dispatchWaiting(step, record.pool);
      return;
    }
    attempt.startedAtMs = step.nowMs;
    recordStarted(step.state, record.pool, attempt.vmId);
    load.unreadTokens -= attempt.promptTokens;
    load.unstartedCount -= 1;
    recordPaceEvent(step, record, attempt, 'first-event');
    if (!record.hasPartialResponse) {
      const {arrivedAtMs} = record.request;
      count(step, 'firstTokenMs', step.nowMs - arrivedAtMs, {
        service: record.service,
      });
    }
    record.hasPartialResponse = true;
    dispatchWaiting(step, record.pool);
  },

  ended(
    step: ServingStep,
    attemptId: AttemptId,
    {status, bodyEnd}: AttemptEnd,
  ): void {
    const {state, nowMs} = step;
    const found = findAttempt(state, attemptId);
    if (!found) return;
    const {record, attempt} = found;
    const load = resolveTargetLoad(state, attempt.vmId);
    load.consecutiveFailures = status >= 500 ? load.consecutiveFailures + 1 : 0;
    load.progressAtMs = nowMs;
    recordHeard(step, record.pool, attempt.vmId);
    resolvePath(state, record.service).progressAtMs = nowMs;
    if (attempt.startedAtMs === undefined) {
      const kind = status < 500 ? 'first-event' : 'failure';
      recordPaceEvent(step, record, attempt, kind);
    }
    const {requestId, callerId, arrivedAtMs} = record.request;
    logDecision(step, 'info', 'requests', 'request answered', {
      requestId,
      callerId,
      route: record.route.name,
      target: attempt.vmId,
      status,
      bodyEnd,
      proof: attempt.closed?.proof,
      sends: record.dispatchCount,
      ageMs: Math.round(nowMs - arrivedAtMs),
    });
    count(step, 'requests', 1, {service: record.service, verdict: 'ran'});
    recordDuration(step, record);
    if (status < 500) recordAnswer(step, record, attempt);
    endAttempt(state, record, attempt);
    removeRequest(step, record);
    dispatchWaiting(step, record.pool);
  },

  failed(step: ServingStep, attemptId: AttemptId, failure: Failure): void {
    const {state, nowMs} = step;
    const found = findAttempt(state, attemptId);
    if (!found) return;
    const {record, attempt} = found;
    const {fault, status, faultyVmId, detail} = failure;
    const {requestId, callerId} = record.request;
    logDecision(step, 'warn', 'requests', 'attempt failed', {
      requestId,
      callerId,
      route: record.route.name,
      target: attempt.vmId,
      fault,
      status,
      faultyVmId,
      detail,
      started: attempt.startedAtMs !== undefined,
      afterMs: Math.round(nowMs - attempt.sentAtMs),
    });
    count(step, 'attemptFaults', 1, {service: record.service, fault});
    const {vmId} = attempt;
    if (status !== undefined || fault === 'garbled') {
      recordHeard(step, record.pool, vmId);
    } else {
      withdrawUnheard(state, record.pool, attempt);
    }
    const isCut = fault === 'broken' && !attempt.closed;
    if (isCut && attempt.startedAtMs !== undefined) {
      resolveTargetLoad(state, vmId).brokenAtMs = nowMs;
    }
    endAttempt(state, record, attempt);
    recordColdFailure(state, record, attempt, nowMs);
    recordPaceEvent(step, record, attempt, 'failure');
    const isSent = fault !== 'not-sent' && fault !== 'unsendable';
    if (fault === 'turned-away') record.refusedAtMs.set(vmId, nowMs);
    if (!isSent || fault === 'turned-away') {
      record.possibleRunCount -= 1;
      if (record.possibleRunCount === 0) record.verdict = 'not-run';
    }
    if (!isSent) {
      record.arrivalCount -= 1;
      if (attempt.isRetry) {
        retryBudget.removeRetry(state, record.service, nowMs);
      }
    }
    if (fault === 'unsendable') {
      if (!continueOtherRun(step, record)) {
        refuseRequest(step, record, {reason: 'unsendable'});
      }
      dispatchWaiting(step, record.pool);
      return;
    }
    recordTargetFailure(step, vmId, failure);
    if (fault === 'broken') {
      crashDetection.broken(step, record, attempt);
    }
    if (!continueOtherRun(step, record)) retryRequest(step, record);
    dispatchWaiting(step, record.pool);
  },
};

function recordTargetFailure(
  step: ServingStep,
  vmId: VmId,
  failure: Failure,
): void {
  const load = resolveTargetLoad(step.state, vmId);
  load.consecutiveFailures += 1;
  const isDown = failure.fault === 'not-sent' || failure.fault === 'broken';
  if (isDown && load.consecutiveFailures >= FAILURES_TO_SUSPECT) {
    startRecovery(step.state, vmId, step.nowMs);
  }
  switch (failure.fault) {
    case 'not-sent':
      recordUnreachable(
        step,
        step.state.engines.get(vmId)?.service,
        vmId,
        failure.detail ?? 'not sent',
      );
      markTargetSuspect(step, vmId, UNREACHABLE_SUSPECT_MS, 'unreachable');
      break;
    case 'turned-away':
      markTargetSuspect(step, vmId, REFUSED_SUSPECT_MS, 'turned away');
      break;
    default:
      if (load.consecutiveFailures >= FAILURES_TO_SUSPECT) {
        markTargetSuspect(step, vmId, BROKEN_SUSPECT_MS, 'failures in a row');
      }
  }
}
