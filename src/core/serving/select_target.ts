import type {Placement, RequestRecord, ServingStep} from './types.js';
import {estimateFirstEventMs} from './estimate_first_event_ms.js';
import {isQuiet} from './announcements/index.js';
import {refreshTargets} from './refresh_targets.js';
import {isUnderSuspicion} from './is_under_suspicion.js';

/**
 * Most prompt tokens that wait to be read at a target while others wait here.
 * A pass reads 2048 tokens a step; more than a few of these in one pass stretch
 * the pause of every stream there past its goal.
 */
const MAX_UNREAD_TOKENS = 9000;
/** Spread of choices between nodes that see the same loads. */
const CHOICE_JITTER = 0.1;
/** Part of a target's slots that may wait in its own queue when no slot is free anywhere. */
const OVERBOOKED_SHARE = 0.5;
/** Cost of a target under suspicion, so that it is the last choice. */
const SUSPECT_MS = 60_000;

/** Selects the target that is expected to answer first; undefined when the request may go to none. */
export function selectTarget(
  step: ServingStep,
  record: RequestRecord,
): Placement | undefined {
  const {state, nowMs} = step;
  refreshTargets(state);
  const {promptTokens} = record.request;
  let best: Placement | undefined;
  let bestMs = Infinity;
  for (const target of state.targetsByPool.get(record.pool) ?? []) {
    if (record.tried.has(target.vmId)) continue;
    if (isQuiet(state, target.vmId, nowMs)) continue;
    const estimate = estimateFirstEventMs(state, target, promptTokens, nowMs);
    const isSuspect = isUnderSuspicion(state, target.vmId, nowMs);
    const costMs =
      estimate.firstMs * (1 + CHOICE_JITTER * state.random.next()) +
      (isSuspect ? SUSPECT_MS : 0);
    if (costMs >= bestMs) continue;
    bestMs = costMs;
    const {inFlight, unreadTokens} = estimate;
    const fits =
      unreadTokens === 0 || unreadTokens + promptTokens <= MAX_UNREAD_TOKENS;
    best = {
      target,
      firstMs: estimate.firstMs,
      inFlight,
      fits,
      hasRoom: inFlight < target.slotCount && fits,
      canQueue: inFlight < target.slotCount * (1 + OVERBOOKED_SHARE),
      isSuspect,
    };
  }
  return best;
}
