import type {AttemptFault, RequestRecord, ServingStep} from '../types.js';
import type {ForwardRecord} from './types.js';
import type {PeerRefusal} from '../events.js';
import type {RefusalReason} from '../effects.js';
import {AVOID_PEER_MS} from './avoid_peer_ms.js';
import {chooseRun, continueOtherRun} from '../hedges/index.js';
import {count} from '../count.js';
import {dispatchWaiting} from '../dispatch_waiting.js';
import {endForward} from './end_forward.js';
import {logDecision} from '../log_decision.js';
import {queueRequest} from '../queue_request.js';
import {recordDuration} from '../record_duration.js';
import {refuseRequest} from '../refuse_request.js';
import {removeRequest} from '../remove_request.js';
import {retryRequest} from '../retry_request.js';

/** Refusals that hold for requests at any node: the caller is told when to come back. The other ones concern one node only. */
const FLEET_REFUSALS: readonly RefusalReason[] = [
  'overloaded',
  'no-target',
  'evacuated',
  'crash-suspect',
];

interface Forwarded {
  readonly record: RequestRecord;
  readonly forward: ForwardRecord;
}

interface Failure {
  readonly fault: AttemptFault;
  readonly detail?: string;
  readonly refusal?: PeerRefusal;
}

/** Handles the events of requests that other nodes pass on. */
export const forwardHandlers = {
  progress(step: ServingStep, {record, forward}: Forwarded): void {
    chooseRun(step, record, forward.attemptId);
    forward.progressAtMs = step.nowMs;
    if (forward.startedAtMs !== undefined) return;
    forward.startedAtMs = step.nowMs;
    if (!record.hasPartialResponse) {
      const firstMs = step.nowMs - record.request.arrivedAtMs;
      count(step, 'firstTokenMs', firstMs, {service: record.service});
    }
    record.hasPartialResponse = true;
  },

  /** A node of an earlier build passes a body on without a length or chunks. */
  closed({nowMs}: ServingStep, {forward}: Forwarded): void {
    forward.closedAtMs = nowMs;
  },

  ended(
    step: ServingStep,
    {record, forward}: Forwarded,
    {status, bodyEnd}: {readonly status: number; readonly bodyEnd?: string},
  ): void {
    const {request, service} = record;
    logDecision(step, 'info', 'requests', 'request answered', {
      requestId: request.requestId,
      callerId: request.callerId,
      route: record.route.name,
      peer: forward.nodeId,
      status,
      bodyEnd,
      ageMs: Math.round(step.nowMs - request.arrivedAtMs),
    });
    count(step, 'requests', 1, {service, verdict: 'ran'});
    recordDuration(step, record);
    endForward(step.state, record, forward);
    removeRequest(step, record);
  },

  failed(
    step: ServingStep,
    {record, forward}: Forwarded,
    failure: Failure,
  ): void {
    const {state, nowMs} = step;
    const {fault, detail, refusal} = failure;
    const {nodeId, sentAtMs, startedAtMs} = forward;
    logDecision(step, 'warn', 'requests', 'forward failed', {
      requestId: record.request.requestId,
      callerId: record.request.callerId,
      peer: nodeId,
      fault,
      detail,
      reason: refusal?.reason,
      started: startedAtMs !== undefined,
      afterMs: Math.round(nowMs - sentAtMs),
    });
    endForward(state, record, forward);
    const hasNotRun =
      fault === 'not-sent' || fault === 'turned-away' || fault === 'unsendable';
    if (hasNotRun) {
      record.possibleRunCount -= 1;
      if (record.possibleRunCount === 0) record.verdict = 'not-run';
    }
    const isPeerAtFault =
      fault !== 'failed' &&
      fault !== 'unsendable' &&
      !(refusal && FLEET_REFUSALS.includes(refusal.reason));
    if (isPeerAtFault) {
      state.forwarding.avoidedUntilMs.set(nodeId, nowMs + AVOID_PEER_MS);
    }
    if (continueOtherRun(step, record)) {
      dispatchWaiting(step, record.pool);
      return;
    }
    if (fault === 'unsendable') {
      refuseRequest(step, record, {reason: 'unsendable'});
      dispatchWaiting(step, record.pool);
      return;
    }
    if (refusal && FLEET_REFUSALS.includes(refusal.reason)) {
      refuseRequest(step, record, refusal);
      return;
    }
    if (fault === 'failed') {
      refuseRequest(step, record, {reason: 'target-failed'});
    } else if (record.verdict === 'not-run' && nowMs < record.deadlineAtMs) {
      queueRequest(step, record);
    } else {
      retryRequest(step, record);
    }
    dispatchWaiting(step, record.pool);
  },
};
