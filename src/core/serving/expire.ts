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

/** A peer that is silent for this long has nothing in flight any more, and takes no callers. */
const PEER_SILENT_MS = 1500;
/** Longer than any head is waited for. */
const DEPARTED_KEPT_MS = 60_000;
/** An opinion older than this tells nothing of now. */
const OPINION_MS = 2000;
/** Time before SIGKILL at which a leaving node ends, whatever still runs. */
const END_MARGIN_MS = 500;

/** Ends what time has ended: requests, peers, suspicions, and the node itself when it leaves. */
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
    if (nowMs - atMs > DEPARTED_KEPT_MS) state.departed.delete(vmId);
  }
  for (const [vmId, {atMs}] of state.opinions) {
    if (nowMs - atMs <= OPINION_MS) continue;
    state.opinions.delete(vmId);
    state.lookedAtMs.delete(vmId);
  }
  let hasFreed = false;
  for (const [vmId, {atMs}] of state.lostEngines) {
    if (nowMs - atMs <= LOST_FOR_MS) continue;
    state.lostEngines.delete(vmId);
    hasFreed = true;
  }
  if (hasFreed) rebuildTargets(state);
  endRestore(step);
  noteAccessProof(step);
  removeHeld(step);
  endWhenDone(step);
}

/** Engines that are still not listed some time after the store's return are gone. */
function removeHeld(step: ServingStep): void {
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

/** Says when keys stop being let in for want of a proof, and when they are let in again. */
function noteAccessProof(step: ServingStep): void {
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
    if (nowMs - atMs <= PEER_SILENT_MS) continue;
    dropPeer(state, key);
    logDecision(step, 'info', 'peers', 'peer silent', {
      peer: key,
      silentMs: Math.round(nowMs - atMs),
    });
  }
}

function endWhenDone(step: ServingStep): void {
  const {state, nowMs} = step;
  const since = state.leavingSinceMs;
  if (since === undefined || state.hasExited) return;
  const isDone = isLeavingForGood(state, nowMs) && state.requests.size === 0;
  const isOver = nowMs - since >= state.bounds.graceMs - END_MARGIN_MS;
  if (!isDone && !isOver) return;
  state.hasExited = true;
  logDecision(step, 'info', 'process', 'node ends', {
    afterMs: Math.round(nowMs - since),
    requests: state.requests.size,
  });
  step.effects.push({type: 'exit'});
}
