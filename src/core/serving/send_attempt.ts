import type {AttemptId} from '../ids/index.js';
import type {
  Placement,
  RequestRecord,
  ServingStep,
  TargetLoad,
} from './types.js';
import type {RetryUsage} from './retries/types.js';
import {count} from './count.js';
import {recordColdSend} from './coldness/index.js';
import {fairQueue} from './fair_queue/index.js';
import {logDecision} from './log_decision.js';
import {makeId} from '../ids/index.js';
import {findRunTarget, keepSilentRun} from './hedges/index.js';
import {findLimitPerS, recordSend} from './rate_limits/index.js';
import {retryBudget} from './retries/index.js';
import {resolveTargetLoad} from './resolve_target_load.js';
import {recordSent} from './silence/index.js';
import {resolveUrgency} from './resolve_urgency.js';

/** Sends a request to the selected target and records the attempt in the load and retry counters. A run that is in progress is kept beside it. */
export function sendAttempt(
  step: ServingStep,
  record: RequestRecord,
  placement: Placement,
): void {
  const {state, nowMs} = step;
  const {request, route} = record;
  const {target} = placement;
  state.idCounter += 1;
  const attemptId = makeId<AttemptId>(
    `${request.requestId}.${state.idCounter.toString(36)}`,
  );
  const load = resolveTargetLoad(state, target.vmId);
  const isRetry = record.arrivalCount > 0;
  keepSilentRun(step, record);
  const isCold = recordColdSend(step, target.engine);
  record.attempt = {
    attemptId,
    vmId: target.vmId,
    bornAtMs: target.engine.bornAtMs,
    address: target.engine.address,
    sentAtMs: nowMs,
    expectedFirstMs: placement.firstEventMs,
    ...(isCold && {isCold}),
    promptTokens: request.promptTokens,
    hasSurvived: false,
    progressAtMs: nowMs,
    isRetry,
    hasDoubtedPath: false,
  };
  recordSent(state, record.pool, target.vmId, nowMs);
  recordSend(state, target.vmId, nowMs);
  fairQueue.recordAdmitted(step, record);
  load.unreadTokens += request.promptTokens;
  load.unstartedCount += 1;
  record.arrivalCount += 1;
  if (isRetry) retryBudget.recordRetry(state, record.service, nowMs);
  record.dispatchCount += 1;
  record.verdict = 'may-have-run';
  record.possibleRunCount += 1;
  record.triedTargets.add(target.vmId);
  state.requestsByAttempt.set(attemptId, record);
  count(step, 'attempts', 1, {service: record.service});
  if (record.dispatchCount === 1) {
    const waitedMs = nowMs - request.arrivedAtMs;
    count(step, 'queueMs', waitedMs, {service: record.service});
  }
  logDecision(step, 'info', 'requests', 'request sent', {
    requestId: request.requestId,
    callerId: request.callerId,
    forwardedBy: request.forwarded?.nodeId,
    route: route.name,
    target: target.vmId,
    replica: target.replica?.replicaId,
    epoch: target.replica?.epoch,
    send: record.dispatchCount,
    waitedMs: Math.round(nowMs - request.arrivedAtMs),
    beside: findRunTarget(record.silentRun),
    expectedFirstMs: Math.round(placement.firstEventMs),
    inFlight: placement.inFlight,
    heardAgeMs: toHeardAgeMs(load, nowMs),
    unheard: load.unheardCount,
    limitPerS: findLimitPerS(state, target.vmId),
    isCold: isCold || undefined,
    retries: isRetry
      ? describeUsage(retryBudget.usage(state, record.service, nowMs))
      : undefined,
    configVersion: state.config?.version,
    fleetRevision: state.fleetRevision,
  });
  step.effects.push({
    type: 'startAttempt',
    requestId: request.requestId,
    attemptId,
    vmId: target.vmId,
    address: target.engine.address,
    organisation: record.organisationId,
    targetTimeoutMs: Math.max(1, record.deadlineAtMs - nowMs),
    urgency: resolveUrgency(record, nowMs),
    needsNewConnection: route.kind === 'unsafe',
    isStream: route.kind === 'streaming',
    isResumable: route.isResumable,
  });
}

function describeUsage({used, allowed, nodeCount}: RetryUsage): string {
  return `${used} of ${Math.floor(allowed)}, ${nodeCount} nodes`;
}

function toHeardAgeMs({heardAtMs}: TargetLoad, nowMs: number) {
  return heardAtMs === -Infinity ? undefined : Math.round(nowMs - heardAtMs);
}
