import type {RequestRecord, ServingStep, TargetLoad} from './types.js';
import {endAttempt} from './end_attempt.js';
import {logDecision} from './log_decision.js';
import {repeatBudget} from './repeat_budget.js';
import {selectTarget} from './select_target.js';
import {sendAttempt} from './send_attempt.js';
import {suspectTarget} from './suspect_target.js';
import {targetLoad} from './target_load.js';

/** Silence of all streams of a target that counts as a stall: several passes, also while prompts are read. */
const SILENT_MS = 320;
/** Silence of one stream, at a target whose other streams go on. */
const ONE_SILENT_MS = 1500;
/** A first event is late by this factor on what was expected. */
const FIRST_FACTOR = 3;
/** Least time to wait for a first event: a pass may have to end first. */
const FIRST_LEAST_MS = 350;
const SUSPECT_MS = 1000;

/**
 * Moves streams away from targets that stand still.
 *
 * A replica that has lost a member goes on taking requests and answers none,
 * for seconds. All its streams fall silent together, which tells it from a
 * target that is merely slow.
 */
export function findStalls(step: ServingStep): void {
  const {state} = step;
  for (const record of [...state.byAttempt.values()]) {
    const {attempt} = record;
    if (!attempt || record.route.kind !== 'streaming') continue;
    const load = targetLoad(state, attempt.vmId);
    const silence = silenceOf(step, record, load);
    if (silence === undefined) continue;
    if (silence.ofTarget) {
      suspectTarget(step, attempt.vmId, SUSPECT_MS, 'no progress');
    }
    moveStalled(step, record, silence.silentMs);
  }
}

interface Silence {
  readonly silentMs: number;
  /** All streams of the target are silent. */
  readonly ofTarget: boolean;
}

function silenceOf(
  step: ServingStep,
  record: RequestRecord,
  load: TargetLoad,
): Silence | undefined {
  const {state, nowMs} = step;
  const attempt = record.attempt!;
  const peers = state.peerLoads.get(attempt.vmId);
  const targetMs =
    nowMs -
    Math.max(load.progressAtMs, peers?.progressAtMs ?? 0, attempt.sentAtMs);
  const silentMs = nowMs - attempt.progressAtMs;
  const limitMs = attempt.hasStarted
    ? SILENT_MS
    : Math.max(FIRST_LEAST_MS, FIRST_FACTOR * attempt.expectedFirstMs);
  if (silentMs > limitMs && targetMs > SILENT_MS) {
    return {silentMs, ofTarget: true};
  }
  if (silentMs > Math.max(limitMs, ONE_SILENT_MS)) {
    return {silentMs, ofTarget: false};
  }
  return undefined;
}

/** Moves a stream when another target is expected to go on with it soon. */
function moveStalled(
  step: ServingStep,
  record: RequestRecord,
  silentMs: number,
): void {
  const {state, nowMs} = step;
  const attempt = record.attempt!;
  const {route} = record;
  if (!route.isResumable && attempt.hasStarted) return;
  if (record.runCount >= route.maxAttempts) return;
  if (!repeatBudget.hasRoom(state, record.service, nowMs)) return;
  const placement = selectTarget(step, record);
  if (!placement || placement.isSuspect || !placement.canQueue) return;
  if (nowMs + placement.firstMs > record.giveUpAtMs) return;
  logDecision(step, 'warn', 'requests', 'stream moved from a silent target', {
    requestId: record.request.requestId,
    callerId: record.request.callerId,
    from: attempt.vmId,
    to: placement.target.vmId,
    silentMs: Math.round(silentMs),
    started: attempt.hasStarted,
  });
  step.effects.push({type: 'cancelAttempt', attemptId: attempt.attemptId});
  endAttempt(state, record);
  sendAttempt(step, record, placement);
}
