import type {ServingEffect} from './effects.js';
import type {AttemptId, VmId} from '../ids/index.js';
import type {ServingEvent} from './events.js';
import type {RequestRecord, ServingState, ServingStep} from './types.js';
import {applyDigest} from './apply_digest.js';
import {applyFleet} from './apply_fleet.js';
import {admitRequest} from './admit_request.js';
import {dispatchWaiting} from './dispatch_waiting.js';
import {expireState} from './expire_state.js';
import {moveStalledStreams} from './move_stalled_streams.js';
import {removeRequest} from './remove_request.js';
import {logDecision} from './log_decision.js';
import {applyAnnouncement} from './announcements/index.js';
import {attemptHandlers} from './attempt_handlers.js';
import {closeHandlers} from './closes/index.js';
import {applyEvacuationReading} from './evacuation/index.js';
import {crashDetection, refreshSuspects} from './crashes/index.js';
import {
  checkEnds,
  checkPaths,
  handleProbe,
  recordReached,
} from './reachability/index.js';
import {findAttempt, findForward, findRunTarget} from './hedges/index.js';
import {checkForwards, forwardHandlers} from './forwarding/index.js';
import {updateRegisteredNodes} from './relays/update_registered_nodes.js';
import {recordStoreContact} from './record_store_contact.js';
import {planDigests} from './relays/plan_digests.js';
import {isIdle} from './is_idle.js';
import {isSilenceNoEvidence} from './is_silence_no_evidence.js';
import {
  applySettledEra,
  applyStoreEra,
  recordConfigProof,
} from './restore/index.js';
import {refreshTargets} from './refresh_targets.js';
import {resolveTargetLoad} from './resolve_target_load.js';
import {poolOfTarget} from './pool_of_target.js';
import {probeSilent, recordHeard, withdrawUnheard} from './silence/index.js';
import {retryBudget} from './retries/index.js';
import {markTargetsStale} from './mark_targets_stale.js';
import {reduceSteward} from '../steward/reduce_steward.js';

/**
 * Applies an event to a serving node's state, in place, and returns the effects
 * to carry out. Uses no clock, no I/O and only the seeded random generator in the
 * state, so equal states and events give equal effects.
 */
export function reduceServing(
  state: ServingState,
  event: ServingEvent & {readonly nowMs: number},
): ServingEffect[] {
  const step: ServingStep = {state, nowMs: event.nowMs, effects: []};
  state.startedAtMs ??= event.nowMs;
  applyEvent(step, event);
  refreshSuspects(step, event.type === 'tick');
  reduceSteward(step, event);
  if (!isIdle(state)) refreshTargets(state);
  return step.effects;
}

function applyEvent(step: ServingStep, event: ServingEvent): void {
  const {state, nowMs} = step;
  const forwarded =
    'attemptId' in event ? findForward(state, event.attemptId) : undefined;
  switch (event.type) {
    case 'requestArrived':
      admitRequest(step, event.request);
      break;
    case 'callerGone':
      handleCallerGone(step, event.requestId);
      break;
    case 'attemptProgress':
      if (forwarded) forwardHandlers.progress(step, forwarded);
      else attemptHandlers.progress(step, event.attemptId, event);
      break;
    case 'attemptEnded':
      if (forwarded) forwardHandlers.ended(step, forwarded, event);
      else attemptHandlers.ended(step, event.attemptId, event);
      break;
    case 'attemptClosed':
      if (forwarded) forwardHandlers.closed(step, forwarded);
      else closeHandlers.closed(step, event.attemptId, event.aliveMs);
      break;
    case 'attemptFailed':
      if (forwarded) forwardHandlers.failed(step, forwarded, event);
      else attemptHandlers.failed(step, event.attemptId, event);
      break;
    case 'attemptUnsent':
      handleUnsent(step, event.attemptId);
      break;
    case 'configRead':
      applyConfig(step, event);
      break;
    case 'evacuationRead':
      applyEvacuationReading(step, event);
      dispatchAll(step);
      break;
    case 'fleetListed':
      recordStoreContact(step, event.provenAtMs ?? nowMs);
      applyFleet(step, {
        changes: event.changes,
        revision: event.revision,
        isFullList: true,
      });
      dispatchAll(step);
      break;
    case 'fleetChanged':
      recordStoreContact(step, nowMs);
      applyFleet(step, {...event, isFullList: false});
      dispatchAll(step);
      break;
    case 'fleetProven':
      state.fleetReadAtMs = Math.max(state.fleetReadAtMs, event.provenAtMs);
      recordStoreContact(step, event.provenAtMs);
      break;
    case 'storeEraRead':
      applyStoreEra(step, event.era, 'the store');
      break;
    case 'settledEraRead':
      applySettledEra(state, event.era, nowMs);
      break;
    case 'peersRegistered':
      updateRegisteredNodes(step, event.nodes);
      break;
    case 'digestDue':
      planDigests(step, event.isUrgent);
      break;
    case 'digestReceived':
      applyDigest(step, event.digest);
      checkEnds(step);
      closeHandlers.check(step);
      break;
    case 'engineConnected':
      recordReached(step, event.vmId, nowMs - event.connectMs);
      break;
    case 'probeAnswered':
      if (!isSilenceNoEvidence(event)) {
        handleProbe(step, event);
        recordProbeResult(step, event);
        crashDetection.probed(step, event);
      }
      closeHandlers.probed(step, event);
      if (event.outcome === 'answered') handleSign(step, event.vmId);
      break;
    case 'engineAnnounced':
      applyAnnouncement(step, event);
      dispatchAll(step);
      break;
    case 'resumed':
      state.resumedAtMs = nowMs;
      logDecision(step, 'warn', 'process', 'event loop held up', {
        lateMs: Math.round(event.lateMs),
        requests: state.requests.size,
      });
      break;
    case 'leaveRequested':
      if (state.leavingSinceMs !== undefined) break;
      state.leavingSinceMs = nowMs;
      logDecision(step, 'info', 'process', 'shutdown requested', {
        requests: state.requests.size,
      });
      break;
    case 'tick':
      checkPaths(step);
      checkEnds(step);
      closeHandlers.check(step);
      moveStalledStreams(step);
      checkForwards(step);
      expireState(step);
      probeSilent(step);
      break;
    default:
      break;
  }
}

function applyConfig(
  step: ServingStep,
  event: Extract<ServingEvent, {type: 'configRead'}>,
): void {
  const {state} = step;
  const {config, provenAtMs} = event;
  recordConfigProof(state, provenAtMs, step.nowMs);
  const version = state.config?.version ?? -1;
  if (!config || config.version <= version) return;
  state.config = config;
  markTargetsStale(state);
  logDecision(step, 'info', 'config', 'configuration applied', {
    version: config.version,
    before: version,
    hosts: config.routesByHost.size,
    services: config.services.size,
  });
  dispatchAll(step);
}

function dispatchAll(step: ServingStep): void {
  for (const pool of step.state.waitingByPool.keys())
    dispatchWaiting(step, pool);
}

function handleSign(step: ServingStep, vmId: VmId): void {
  const target = step.state.targets.get(vmId);
  if (!target) return;
  const pool = poolOfTarget(target);
  if (recordHeard(step, pool, vmId)) dispatchWaiting(step, pool);
}

function recordProbeResult(
  {state, nowMs}: ServingStep,
  {vmId, outcome}: Extract<ServingEvent, {type: 'probeAnswered'}>,
): void {
  if (!state.lastProbeAtMs.has(vmId)) return;
  const isSilent = outcome !== 'answered' && outcome !== 'accepted';
  const hasResponded = outcome === 'answered';
  state.probeResults.set(vmId, {isSilent, hasResponded, atMs: nowMs});
}

function handleCallerGone(
  step: ServingStep,
  requestId: Parameters<typeof step.state.requests.get>[0],
): void {
  const record = step.state.requests.get(requestId);
  if (!record) return;
  // An unsafe request that may be running is not cancelled: after a cancellation
  // its outcome would be unknown. A peer knows whether it has sent one.
  if (record.route.kind === 'unsafe' && record.attempt) return;
  logDecision(step, 'info', 'requests', 'caller gone', {
    requestId,
    callerId: record.request.callerId,
    target: record.attempt?.vmId,
    silent: findRunTarget(record.silentRun),
    ageMs: Math.round(step.nowMs - record.request.arrivedAtMs),
    ...describeSilence(step, record),
  });
  removeRequest(step, record);
  dispatchWaiting(step, record.pool);
}

/** Drops a request whose caller left before it was sent, unsafe ones too: nothing has run. */
function handleUnsent(step: ServingStep, attemptId: AttemptId): void {
  const {state, nowMs} = step;
  const found = findAttempt(state, attemptId);
  const record = found?.record ?? findForward(state, attemptId)?.record;
  if (!record) return;
  if (found) {
    withdrawUnheard(state, record.pool, found.attempt);
    if (found.attempt.isRetry) {
      retryBudget.removeRetry(state, record.service, nowMs);
    }
  }
  const {requestId, callerId, arrivedAtMs} = record.request;
  logDecision(step, 'info', 'requests', 'caller gone before request was sent', {
    requestId,
    callerId,
    target: record.attempt?.vmId,
    peer: record.forward?.nodeId,
    ageMs: Math.round(step.nowMs - arrivedAtMs),
  });
  removeRequest(step, record);
  dispatchWaiting(step, record.pool);
}

/** When the request was sent, and whether its target was heard since: if not, the request may reach the target after its caller has left. */
function describeSilence(
  {state, nowMs}: ServingStep,
  {attempt}: RequestRecord,
) {
  if (!attempt) return {};
  const {heardAtMs} = resolveTargetLoad(state, attempt.vmId);
  return {
    sentAgeMs: Math.round(nowMs - attempt.sentAtMs),
    heardSince: heardAtMs > attempt.sentAtMs,
  };
}
