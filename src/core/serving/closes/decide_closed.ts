import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import type {ClosedBody} from './types.js';
import {MAX_WAIT_MS} from './max_wait_ms.js';
import {TOGETHER_MS} from './together_ms.js';
import {breakClosed} from './break_closed.js';
import {canRepeat} from './can_repeat.js';
import {findEnd} from './find_end.js';
import {finishClosed} from './finish_closed.js';
import {hasBrokenBeside} from './has_broken_beside.js';
import {hasProgressSince} from './has_progress_since.js';
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
  const {state} = step;
  const {closed} = attempt;
  if (!closed || closed.proof !== undefined) return;
  const waitedMs = resolveWaitedMs(step, closed);
  const isOver = isOverdue || waitedMs >= MAX_WAIT_MS;
  if (hasProgressSince(state, attempt)) {
    finishClosed(step, attempt, 'target made progress');
    return;
  }
  if (closed.isPlanned) {
    decidePlanned(step, record, attempt, isOver);
    return;
  }
  const end = findEnd(state, attempt);
  if (end !== undefined) {
    breakClosed(step, attempt, end);
    return;
  }
  if (closed.isRefused) {
    decideRefused(step, record, attempt, isOver);
  } else if (waitedMs >= SILENCE_MS && canRepeat(step, record, attempt)) {
    breakClosed(step, attempt, 'target silent');
  } else if (isOver) {
    // Targets at their limit of connections reset new ones; one whose process has ended refuses them.
    finishClosed(step, attempt, 'no proof of an end');
  }
}

/** How long evidence was waited for; while this node was held up, it could read none. */
function resolveWaitedMs(
  {state, nowMs}: ServingStep,
  {atMs}: ClosedBody,
): number {
  return nowMs - Math.max(atMs, state.resumedAtMs);
}

/** The path may refuse new connections of this node alone: then other streams make progress, or peers reach the target. Another run costs less than to wait for that. */
function decideRefused(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  isOver: boolean,
): void {
  const {vmId, address} = attempt;
  if (isReachedByPeer(step.state, attempt)) {
    finishClosed(step, attempt, 'target answered a peer');
  } else if (isOver || canRepeat(step, record, attempt)) {
    breakClosed(step, attempt, 'connection refused');
  } else {
    requestPeerProbes(step, {vmId, address});
  }
}

/** A target that is leaving ends after its last response, unless it is killed before. */
function decidePlanned(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
  isOver: boolean,
): void {
  const {isRefused} = attempt.closed!;
  const waitedMs = resolveWaitedMs(step, attempt.closed!);
  if (!isOver && waitedMs < (isRefused ? TOGETHER_MS : SILENCE_MS)) return;
  const isCut =
    isRefused &&
    (hasBrokenBeside(step.state, attempt) || canRepeat(step, record, attempt));
  if (isCut) {
    breakClosed(step, attempt, 'connection refused by a leaving target');
  } else {
    finishClosed(step, attempt, 'target is leaving');
  }
}
