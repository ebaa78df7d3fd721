import type {AccessConfig, Organisation} from '../access/types.js';
import type {CrashMarker} from './crashes/types.js';
import type {RefusalReason} from './effects.js';
import type {RequestRecord, ServingRequest, ServingStep} from './types.js';
import {canEndBeforeExit} from './can_end_before_exit.js';
import {count} from './count.js';
import {fairQueue} from './fair_queue/index.js';
import {findCrashSuspect} from './crashes/index.js';
import {estimateFirstSentAtMs} from './caller_timeouts/index.js';
import {isAccessProven} from './is_access_proven.js';
import {hasStoppedAccepting} from './has_stopped_accepting.js';
import {logDecision} from './log_decision.js';
import {matchRoute, selectShare} from '../access/index.js';
import {refuseRequest} from './refuse_request.js';
import {queueRequest} from './queue_request.js';
import {poolKey} from './pool_key.js';
import {retryBudget} from './retries/index.js';

/** Expected time until a node without a configuration proof has one again: one store call and its time-out. */
const PROOF_RETRY_MS = 500;
/** Another node can serve the request at once. */
const LEAVING_RETRY_MS = 20;

/** Queues a new request for dispatch, or refuses it at once when it can't be served. */
export function admitRequest(step: ServingStep, request: ServingRequest): void {
  const {state, nowMs} = step;
  const {config} = state;
  if (!config) {
    refuseOnArrival(step, request, 503, 'no-configuration', PROOF_RETRY_MS);
    return;
  }
  if (!isAccessProven(state, nowMs)) {
    refuseOnArrival(step, request, 503, 'no-proof', PROOF_RETRY_MS);
    return;
  }
  if (hasStoppedAccepting(state, nowMs)) {
    refuseOnArrival(step, request, 503, 'leaving', LEAVING_RETRY_MS);
    return;
  }
  const route = matchRoute(config, request.host, request.path);
  if (!route) {
    refuseOnArrival(step, request, 404, 'unknown-route');
    return;
  }
  const organisation = findOrganisation(config, request);
  if (!organisation && config.organisationsByKey && !route.isAnonymous) {
    refuseOnArrival(step, request, 401, 'unknown-key');
    return;
  }
  const suspicion = findCrashSuspect(state, request, nowMs);
  if (suspicion) {
    refuseOnArrival(
      step,
      request,
      503,
      'crash-suspect',
      suspicion.retryAfterMs,
      suspicion.marker,
    );
    return;
  }
  const service = selectShare(route.shares, state.random.next());
  if (service === undefined) {
    refuseOnArrival(step, request, 503, 'no-target', PROOF_RETRY_MS);
    return;
  }
  const isModelService = config.services.get(service)?.engine !== undefined;
  const deadlineAtMs =
    request.arrivedAtMs +
    Math.min(route.timeoutMs, request.callerTimeoutMs ?? Infinity);
  if (!canEndBeforeExit(state, {route, deadlineAtMs}, nowMs)) {
    refuseOnArrival(step, request, 503, 'leaving', LEAVING_RETRY_MS);
    return;
  }
  const goalAtMs = estimateFirstSentAtMs(state, route, request) + route.goalMs;
  const priorRunCount = request.forwarded?.priorRunCount ?? 0;
  const record: RequestRecord = {
    request,
    route,
    service,
    pool: poolKey(service, isModelService ? request.model : undefined),
    organisationId: organisation?.organisationId,
    priority: organisation?.priority ?? route.priority,
    goalAtMs,
    deadlineAtMs,
    waitDeadlineAtMs: nowMs,
    waitingSinceMs: nowMs,
    triedTargets: new Set(),
    refusedAtMs: new Map(),
    triedPeers: new Set(),
    verdict: 'not-run',
    possibleRunCount: priorRunCount,
    dispatchCount: priorRunCount,
    arrivalCount: priorRunCount,
    hasPartialResponse: false,
  };
  state.requests.set(request.requestId, record);
  if (priorRunCount === 0) {
    retryBudget.recordRequest(state, service, nowMs);
  } else if (!retryBudget.hasRoom(state, service, nowMs)) {
    refuseRequest(step, record, {reason: 'overloaded', retryDenial: 'budget'});
    return;
  }
  fairQueue.recordArrival(step, record);
  queueRequest(step, record);
}

function findOrganisation(
  config: AccessConfig,
  request: ServingRequest,
): Organisation | undefined {
  if (request.apiKey === undefined) return undefined;
  return config.organisationsByKey?.get(request.apiKey);
}

function refuseOnArrival(
  step: ServingStep,
  request: ServingRequest,
  status: 401 | 404 | 503,
  reason: RefusalReason,
  retryAfterMs?: number,
  suspect?: CrashMarker,
): void {
  const {state, nowMs} = step;
  const {requestId, callerId, host, path} = request;
  logDecision(step, 'info', 'requests', 'request turned away', {
    requestId,
    callerId,
    host,
    path,
    status,
    reason,
    retryAfterMs,
    suspect,
    configVersion: state.config?.version,
    proofAgeMs: Math.round(nowMs - state.configProvenAtMs),
  });
  count(step, 'turnedAway', 1, {reason});
  step.effects.push({
    type: 'refuse',
    requestId,
    status,
    reason,
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  });
}
