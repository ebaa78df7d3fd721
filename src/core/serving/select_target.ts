import type {Placement, RequestRecord, ServingStep} from './types.js';
import {estimateFirstEventMs} from './estimate_first_event_ms.js';
import {isBackoffActive} from './announcements/index.js';
import {isClosedByCold} from './coldness/index.js';
import {isLimitReached} from './rate_limits/index.js';
import {isTargetOpen} from './pace/index.js';
import {refreshTargets} from './refresh_targets.js';
import {isSuspectTarget} from './is_suspect_target.js';
import {
  isPoolSilent,
  isTargetSilent,
  noteSilence,
  resolvePoolSigns,
} from './silence/index.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/**
 * Limit on unprocessed prompt tokens at a target; requests above it wait at this
 * node. A target processes 2048 prompt tokens a step, and more than a few such steps
 * in one pass delay the events of all its streams past their latency goal.
 */
const MAX_UNREAD_TOKENS = 9000;
/** Random factor on the cost, so that nodes with equal load data don't all select the same target. */
const CHOICE_JITTER = 0.1;
/** Length limit of a target's own queue, as a share of its slots, for requests that may queue there. */
const TARGET_QUEUE_SHARE = 0.5;
/** Penalty on a suspect target, high enough to make it the last choice. */
const SUSPECT_PENALTY_MS = 60_000;

/** Selects the target with the earliest expected first event; undefined when no target is eligible. A silent one is not: a request that it has not read can't be called back. */
export function selectTarget(
  step: ServingStep,
  record: RequestRecord,
): Placement | undefined {
  const {state, nowMs} = step;
  refreshTargets(state);
  const {promptTokens} = record.request;
  const isWholePoolSilent = isPoolSilent(state, record.pool, nowMs);
  const signs = resolvePoolSigns(state, record.pool);
  noteSilence(step, signs, isWholePoolSilent, {pool: record.pool});
  if (isWholePoolSilent) return undefined;
  let best: Placement | undefined;
  let bestMs = Infinity;
  for (const target of state.targetsByPool.get(record.pool) ?? []) {
    if (record.triedTargets.has(target.vmId)) continue;
    if (isBackoffActive(state, target.vmId, nowMs)) continue;
    if (isLimitReached(state, target.vmId, nowMs)) continue;
    if (isClosedByCold(state, record, target, nowMs)) continue;
    if (!isTargetOpen(state, target, nowMs)) continue;
    const isSilent = isTargetSilent(state, target, nowMs);
    const load = resolveTargetLoad(state, target.vmId);
    noteSilence(step, load, isSilent, {target: target.vmId});
    if (isSilent) continue;
    const estimate = estimateFirstEventMs(state, target, promptTokens, nowMs);
    const isSuspect = isSuspectTarget(state, target.vmId, nowMs);
    const costMs =
      estimate.firstEventMs * (1 + CHOICE_JITTER * state.random.next()) +
      (isSuspect ? SUSPECT_PENALTY_MS : 0);
    if (costMs >= bestMs) continue;
    bestMs = costMs;
    const {inFlight, unreadTokens} = estimate;
    const hasPromptCapacity =
      unreadTokens === 0 || unreadTokens + promptTokens <= MAX_UNREAD_TOKENS;
    best = {
      target,
      firstEventMs: estimate.firstEventMs,
      inFlight,
      hasPromptCapacity,
      hasRoom: inFlight < target.slotCount && hasPromptCapacity,
      canQueue: inFlight < target.slotCount * (1 + TARGET_QUEUE_SHARE),
      isSuspect,
    };
  }
  return best;
}
