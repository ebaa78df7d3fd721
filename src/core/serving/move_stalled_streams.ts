import type {
  AttemptRecord,
  RequestRecord,
  ServingStep,
  TargetLoad,
} from './types.js';
import {doubtPath, isPathDown, resolvePath} from './reachability/index.js';
import {findRetryDenial} from './find_retry_denial.js';
import {forwardRequest} from './forwarding/index.js';
import {listAttempts} from './hedges/index.js';
import {logDecision} from './log_decision.js';
import {selectSuccessor} from './select_successor.js';
import {sendAttempt} from './send_attempt.js';
import {markTargetSuspect} from './mark_target_suspect.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/** A target without an event on any stream for this long is stalled; it spans several passes, even while prompts are processed. */
const TARGET_STALL_MS = 320;
/** One stream without an event for this long is stalled, even if the target's other streams progress. */
const STREAM_STALL_MS = 1500;
/** A first event is late after this multiple of its expected time. */
const FIRST_EVENT_LATE_FACTOR = 3;
/** Minimum wait for a first event, since a running pass may have to end first. */
const MIN_FIRST_EVENT_WAIT_MS = 350;
const STALL_SUSPECT_MS = 1000;
/** A response that is not a stream is late after this time: targets take a few hundred ms, queues included. */
const RESPONSE_LATE_MS = 1000;

/**
 * Moves streams away from stalled targets: sends them to another target too, and
 * the first of the two that delivers an event goes on.
 *
 * A replica that has lost a member keeps accepting requests for seconds without
 * responding to any. All its streams stop at the same time, which distinguishes it
 * from a target that is only slow.
 */
export function moveStalledStreams(step: ServingStep): void {
  const {state} = step;
  for (const [record, attempt] of [...listAttempts(state)]) {
    if (attempt.closed) continue;
    doubtSilentPath(step, record, attempt);
    const isCurrent = record.attempt === attempt;
    if (isPathDown(state, record.service)) {
      if (isCurrent) forwardSilentRequest(step, record, attempt);
      continue;
    }
    if (record.route.kind !== 'streaming') continue;
    const load = resolveTargetLoad(state, attempt.vmId);
    const stall = detectStall(step, attempt, load);
    if (stall === undefined) continue;
    if (stall.isWholeTarget) {
      markTargetSuspect(step, attempt.vmId, STALL_SUSPECT_MS, 'no progress');
    }
    if (isCurrent) moveStream(step, record, stall.silentMs);
  }
}

/** Puts the path to a service in doubt when none of this node's requests there make progress. Single targets may be silent for other reasons. */
function doubtSilentPath(
  step: ServingStep,
  {route, service}: RequestRecord,
  attempt: AttemptRecord,
): void {
  const {state, nowMs} = step;
  if (attempt.hasDoubtedPath) return;
  const limitMs =
    route.kind !== 'streaming'
      ? RESPONSE_LATE_MS
      : attempt.startedAtMs !== undefined
        ? TARGET_STALL_MS
        : firstEventLimitMs(attempt);
  const path = resolvePath(state, service);
  const silentSinceMs = Math.max(path.progressAtMs, attempt.progressAtMs);
  if (nowMs - silentSinceMs <= limitMs) return;
  attempt.hasDoubtedPath = true;
  doubtPath(step, service, `${attempt.vmId}: no progress of any request`);
}

/** Sends a silent request by way of another node too, if this one can no longer reach its target and the request may be sent again. */
function forwardSilentRequest(
  step: ServingStep,
  record: RequestRecord,
  {progressAtMs}: AttemptRecord,
): void {
  if (step.nowMs - progressAtMs <= TARGET_STALL_MS) return;
  if (findRetryDenial(step, record) !== undefined) return;
  forwardRequest(step, record);
}

interface Stall {
  readonly silentMs: number;
  /** No stream of the target progresses. */
  readonly isWholeTarget: boolean;
}

function detectStall(
  {state, nowMs}: ServingStep,
  attempt: AttemptRecord,
  load: TargetLoad,
): Stall | undefined {
  const peers = state.peerLoads.get(attempt.vmId);
  const targetSilentMs =
    nowMs -
    Math.max(load.progressAtMs, peers?.progressAtMs ?? 0, attempt.sentAtMs);
  const silentMs = nowMs - attempt.progressAtMs;
  const limitMs =
    attempt.startedAtMs !== undefined
      ? TARGET_STALL_MS
      : firstEventLimitMs(attempt);
  if (silentMs > limitMs && targetSilentMs > TARGET_STALL_MS) {
    return {silentMs, isWholeTarget: true};
  }
  if (silentMs > Math.max(limitMs, STREAM_STALL_MS)) {
    return {silentMs, isWholeTarget: false};
  }
  return undefined;
}

function firstEventLimitMs({expectedFirstMs}: AttemptRecord): number {
  return Math.max(
    MIN_FIRST_EVENT_WAIT_MS,
    FIRST_EVENT_LATE_FACTOR * expectedFirstMs,
  );
}

/** Sends a stream to another target too, if it may be sent again and that one can take it before its deadline. */
function moveStream(
  step: ServingStep,
  record: RequestRecord,
  silentMs: number,
): void {
  const attempt = record.attempt!;
  // A silent target may be running the request, also before the first event.
  if (findRetryDenial(step, record) !== undefined) return;
  const placement = selectSuccessor(step, record);
  if (!placement) return;
  logDecision(step, 'warn', 'requests', 'stream sent beside a silent target', {
    requestId: record.request.requestId,
    callerId: record.request.callerId,
    from: attempt.vmId,
    to: placement.target.vmId,
    silentMs: Math.round(silentMs),
    started: attempt.startedAtMs !== undefined,
  });
  sendAttempt(step, record, placement);
}
