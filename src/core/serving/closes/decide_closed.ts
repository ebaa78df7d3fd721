import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import {MAX_WAIT_MS} from './max_wait_ms.js';
import {TOGETHER_MS} from './together_ms.js';
import {breakClosed} from './break_closed.js';
import {canRepeat} from './can_repeat.js';
import {finishClosed} from './finish_closed.js';
import {hasBrokenBeside} from './has_broken_beside.js';
import {hasClosedBeside} from './has_closed_beside.js';
import {isPlannedEnd} from './is_planned_end.js';
import {isReachedByPeer} from './is_reached_by_peer.js';
import {requestPeerProbes} from '../../steward/request_peer_probes.js';

/** A target that runs answers a probe sooner, unless it resets new connections. */
const SILENCE_MS = 300;

/** Decides whether a body that closed is complete, once there is evidence or the time for it is over. */
export function decideClosed(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  isOverdue = false,
): void {
  const {state, nowMs} = step;
  const {closed, vmId, bornAtMs} = attempt;
  if (!closed || closed.proof !== undefined) return;
  const waitedMs = nowMs - closed.atMs;
  const isOver = isOverdue || waitedMs >= MAX_WAIT_MS;
  if (isPlannedEnd(state, attempt)) {
    if (isOver || waitedMs >= 2 * TOGETHER_MS) {
      decidePlanned(step, record, attempt, isOver);
    }
    return;
  }
  const lost = state.lostEngines.get(vmId);
  if (lost?.bornAtMs === bornAtMs && lost.atMs >= closed.atMs) {
    breakClosed(step, attempt, 'target lost');
    return;
  }
  const engine = state.engines.get(vmId);
  if (engine && engine.bornAtMs !== bornAtMs) {
    breakClosed(step, attempt, 'target restarted');
    return;
  }
  if (closed.isRefused) {
    decideRefused(step, record, attempt, isOver);
  } else if (waitedMs >= SILENCE_MS && canRepeat(step, record)) {
    breakClosed(step, attempt, 'target silent');
  } else if (isOver) {
    // Targets at their limit of connections reset new ones; one whose process has ended refuses them.
    finishClosed(step, attempt, 'no proof of an end');
  }
}

/** Another run costs less than to wait for peers, which reach the target if only the path refuses this node's connections. */
function decideRefused(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  isOver: boolean,
): void {
  const {vmId, address} = attempt;
  if (isReachedByPeer(step.state, attempt)) {
    finishClosed(step, attempt, 'target answered a peer');
  } else if (isOver || canRepeat(step, record)) {
    breakClosed(step, attempt, 'connection refused');
  } else {
    requestPeerProbes(step, {vmId, address});
  }
}

/** A target that leaves ends after its last response, unless it is killed before. */
function decidePlanned(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  isOver: boolean,
): void {
  const doubt = findDoubt(step, record, attempt);
  if (doubt !== undefined && attempt.closed!.isRefused) {
    breakClosed(step, attempt, doubt);
  } else if (doubt === undefined || isOver) {
    finishClosed(step, attempt, 'target is leaving');
  }
}

/** Returns what speaks against an end after the last response; undefined if nothing does. */
function findDoubt(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
): string | undefined {
  if (hasBrokenBeside(step.state, attempt)) return 'cut beside another one';
  const isSuspicious =
    record.route.isResumable && hasClosedBeside(step.state, attempt);
  if (isSuspicious && canRepeat(step, record)) return 'closed beside others';
  return undefined;
}
