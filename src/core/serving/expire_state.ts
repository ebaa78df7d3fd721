import type {EngineChange} from '../fleet/types.js';
import type {ServingStep} from './types.js';
import {LOST_ENGINE_TTL_MS} from './lost_engine_ttl_ms.js';
import {EXIT_MARGIN_MS} from './exit_margin_ms.js';
import {applyFleet} from './apply_fleet.js';
import {dispatchWaiting} from './dispatch_waiting.js';
import {expireAnnouncements} from './announcements/index.js';
import {expireColdness} from './coldness/index.js';
import {dropPeer} from './drop_peer.js';
import {isAccessProven} from './is_access_proven.js';
import {hasStoppedAccepting} from './has_stopped_accepting.js';
import {logDecision} from './log_decision.js';
import {closeHandlers} from './closes/index.js';
import {crashDetection, expireCrashes} from './crashes/index.js';
import {expireEvacuations} from './evacuation/index.js';
import {expirePace} from './pace/index.js';
import {expireWork} from './fair_queue/index.js';
import {expireLimits} from './rate_limits/index.js';
import {markTargetsStale} from './mark_targets_stale.js';
import {markSettledEra, relistAfterRestore} from './restore/index.js';
import {recordFleetSize} from './fleet_size/index.js';
import {expireRetries} from './retries/index.js';
import {refuseRequest} from './refuse_request.js';

/** A peer without a digest for this long is treated as stopped: its loads no longer count, and callers are not sent to it. */
const PEER_TIMEOUT_MS = 1500;
/** Longer than the wait for any departed head. */
const DEPARTED_RETENTION_MS = 60_000;
/** A probe result older than this is stale. */
const PROBE_RESULT_TTL_MS = 2000;

/** Handles everything that times out: requests, peers, suspicions, deferred removals and the node's own shutdown. */
export function expireState(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const record of [...state.requests.values()]) {
    if (nowMs < record.deadlineAtMs) continue;
    if (closeHandlers.isAwaitingProbe(step, record)) continue;
    if (closeHandlers.settle(step, record)) continue;
    if (!state.requests.has(record.request.requestId)) continue;
    refuseRequest(step, record, {reason: 'timeout'});
  }
  expireColdness(step);
  expirePace(step);
  for (const pool of state.waitingByPool.keys()) dispatchWaiting(step, pool);
  expirePeers(step);
  recordFleetSize(step);
  expireRetries(state, nowMs);
  crashDetection.expire(step);
  expireCrashes(state, nowMs);
  expireAnnouncements(state, nowMs);
  expireLimits(state, nowMs);
  expireEvacuations(step);
  expireWork(state, nowMs);
  for (const [vmId, {atMs}] of state.departedEngines) {
    if (nowMs - atMs > DEPARTED_RETENTION_MS)
      state.departedEngines.delete(vmId);
  }
  for (const vmId of state.leavingEngines.keys()) {
    const isKnown = state.engines.has(vmId) || state.departedEngines.has(vmId);
    if (!isKnown) state.leavingEngines.delete(vmId);
  }
  for (const [vmId, {atMs}] of state.probeResults) {
    if (nowMs - atMs <= PROBE_RESULT_TTL_MS) continue;
    state.probeResults.delete(vmId);
    state.lastProbeAtMs.delete(vmId);
  }
  let hasExpiredLosses = false;
  for (const [vmId, {atMs}] of state.lostEngines) {
    if (nowMs - atMs <= LOST_ENGINE_TTL_MS) continue;
    state.lostEngines.delete(vmId);
    hasExpiredLosses = true;
  }
  if (hasExpiredLosses) markTargetsStale(state);
  relistAfterRestore(step);
  markSettledEra(step);
  logAccessProofChange(step);
  applyDeferredRemovals(step);
  exitWhenDrained(step);
}

/** Removes engines that are still not listed at the end of the time for which removals were deferred. */
function applyDeferredRemovals(step: ServingStep): void {
  const {state, nowMs} = step;
  if (state.deferredRemovals.size === 0) return;
  const changes: EngineChange[] = [];
  for (const [vmId, {revision, untilMs}] of state.deferredRemovals) {
    if (nowMs < untilMs) continue;
    state.deferredRemovals.delete(vmId);
    changes.push({vmId, revision});
  }
  if (changes.length > 0) applyFleet(step, {changes, isFullList: false});
}

/** Logs when API keys stop being accepted because the configuration proof is too old, and when they are accepted again. */
function logAccessProofChange(step: ServingStep): void {
  const {state, nowMs} = step;
  const isProven = isAccessProven(state, nowMs);
  if (isProven === state.wasAccessProven) return;
  state.wasAccessProven = isProven;
  const message = isProven ? 'configuration proven' : 'configuration unproven';
  logDecision(step, isProven ? 'info' : 'warn', 'config', message, {
    version: state.config?.version,
    proofAgeMs: Math.round(nowMs - state.configProvenAtMs),
    ownProofAgeMs: Math.round(nowMs - state.configReadAtMs),
    peers: state.peers.size,
  });
}

function expirePeers(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const [key, {atMs}] of [...state.peers]) {
    if (nowMs - atMs <= PEER_TIMEOUT_MS) continue;
    dropPeer(state, key);
    logDecision(step, 'info', 'peers', 'peer timed out', {
      peer: key,
      silentMs: Math.round(nowMs - atMs),
    });
  }
}

function exitWhenDrained(step: ServingStep): void {
  const {state, nowMs} = step;
  const sinceMs = state.leavingSinceMs;
  if (sinceMs === undefined || state.hasExited) return;
  const isDrained =
    hasStoppedAccepting(state, nowMs) && state.requests.size === 0;
  const isGraceOver = nowMs - sinceMs >= state.bounds.graceMs - EXIT_MARGIN_MS;
  if (!isDrained && !isGraceOver) return;
  state.hasExited = true;
  logDecision(step, 'info', 'process', 'node exiting', {
    afterMs: Math.round(nowMs - sinceMs),
    requests: state.requests.size,
  });
  for (const record of [...state.requests.values()]) {
    if (closeHandlers.settle(step, record)) continue;
    if (!state.requests.has(record.request.requestId)) continue;
    refuseRequest(step, record, {reason: 'leaving', retryAfterMs: 0});
  }
  step.effects.push({type: 'exit'});
}
