import type {ServingStep} from './types.js';
import {LOST_FOR_MS} from './lost_for_ms.js';
import {applyFleet} from './apply_fleet.js';
import {dispatchWaiting} from './dispatch_waiting.js';
import {expireAnnouncements} from './announcements/index.js';
import {dropPeer} from './drop_peer.js';
import {isAccessProven} from './is_access_proven.js';
import {isLeavingForGood} from './is_leaving_for_good.js';
import {logDecision} from './log_decision.js';
import {noteLostWhileRunning} from './note_lost_while_running.js';
import {rebuildTargets} from './rebuild_targets.js';
import {endRestore} from './restore/index.js';
import {refuseRequest} from './refuse_request.js';

/** A peer without a digest for this long is treated as gone: its loads no longer count, and callers are not sent to it. */
const PEER_TIMEOUT_MS = 1500;
/** Longer than the wait for any departed head. */
const DEPARTED_RETENTION_MS = 60_000;
/** A probe result older than this is stale. */
const PROBE_RESULT_TTL_MS = 2000;
/** Time before SIGKILL at which a node that is shutting down exits, even with requests running. */
const EXIT_MARGIN_MS = 500;

/** Handles everything that times out: requests, peers, suspicions, deferred removals and the node's own shutdown. */
export function expire(step: ServingStep): void {
  const {state, nowMs} = step;
  for (const record of [...state.requests.values()]) {
    if (nowMs >= record.giveUpAtMs) {
      refuseRequest(step, record, {reason: 'timeout'});
    }
  }
  for (const pool of state.waiting.keys()) dispatchWaiting(step, pool);
  expirePeers(step);
  noteLostWhileRunning.expire(step);
  expireAnnouncements(state, nowMs);
  for (const [fingerprint, {untilMs}] of state.crashSuspects) {
    if (nowMs > untilMs) state.crashSuspects.delete(fingerprint);
  }
  for (const [vmId, {atMs}] of state.departed) {
    if (nowMs - atMs > DEPARTED_RETENTION_MS) state.departed.delete(vmId);
  }
  for (const [vmId, {atMs}] of state.opinions) {
    if (nowMs - atMs <= PROBE_RESULT_TTL_MS) continue;
    state.opinions.delete(vmId);
    state.lookedAtMs.delete(vmId);
  }
  let hasExpiredLosses = false;
  for (const [vmId, {atMs}] of state.lostEngines) {
    if (nowMs - atMs <= LOST_FOR_MS) continue;
    state.lostEngines.delete(vmId);
    hasExpiredLosses = true;
  }
  if (hasExpiredLosses) rebuildTargets(state);
  endRestore(step);
  logAccessProofChange(step);
  applyHeldRemovals(step);
  exitWhenDrained(step);
}

/** Removes engines that are still not listed at the end of the time for which removals were deferred. */
function applyHeldRemovals(step: ServingStep): void {
  const {state, nowMs} = step;
  if (state.heldRemovals.size === 0) return;
  if (nowMs < state.holdRemovalsUntilMs) return;
  const changes = [...state.heldRemovals].map(([vmId, revision]) => ({
    vmId,
    revision,
  }));
  state.heldRemovals.clear();
  applyFleet(step, {changes, isWhole: false});
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
  const isDrained = isLeavingForGood(state, nowMs) && state.requests.size === 0;
  const isGraceOver = nowMs - sinceMs >= state.bounds.graceMs - EXIT_MARGIN_MS;
  if (!isDrained && !isGraceOver) return;
  state.hasExited = true;
  logDecision(step, 'info', 'process', 'node exiting', {
    afterMs: Math.round(nowMs - sinceMs),
    requests: state.requests.size,
  });
  step.effects.push({type: 'exit'});
}
