import {resolveColdWait} from './coldness/index.js';
import {resolvePoolBackoffMs} from './announcements/index.js';
import {isPoolEvacuated} from './evacuation/index.js';
import {fairQueue} from './fair_queue/index.js';
import type {Placement, RequestRecord, ServingStep} from './types.js';

/** Usual time to replace a lost replica with a warm spare. */
const REPLICA_REPAIR_MS = 900;
/** Bounds of the value sent to callers; a retry sooner than the lower one meets the same load. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 2000;
/** Random share added to the value, so that callers don't all retry at the same moment. */
const JITTER_SHARE = 0.5;

/** Retry-After of a refused request, in ms: the estimated time until a target has capacity for it. An evacuation lasts until the operator ends it, so its refusals carry the longest time. */
export function retryAfterMs(
  step: ServingStep,
  record: RequestRecord,
  placement: Placement | undefined,
): number {
  const {state, nowMs} = step;
  const jitter = 1 + JITTER_SHARE * state.random.next();
  const backoffMs = resolvePoolBackoffMs(state, record.pool, nowMs);
  if (backoffMs !== undefined) {
    return Math.round(Math.max(MIN_RETRY_MS, backoffMs * jitter));
  }
  if (isPoolEvacuated(state, record.pool)) {
    return Math.round(MAX_RETRY_MS * jitter);
  }
  const coldWait = placement
    ? undefined
    : resolveColdWait(state, record, 0, nowMs);
  if (coldWait) {
    const opensMs = (coldWait.opensAtMs - nowMs) * jitter;
    return Math.round(Math.max(MIN_RETRY_MS, opensMs));
  }
  const waiting = state.waitingByPool.get(record.pool)?.length ?? 0;
  const targets = state.targetsByPool.get(record.pool)?.length ?? 0;
  const roomMs = fairQueue.bookRoomMs(step, record.pool);
  const base = placement
    ? placement.firstEventMs +
      (waiting * placement.firstEventMs) / Math.max(1, targets)
    : REPLICA_REPAIR_MS;
  const leftMs = record.deadlineAtMs - nowMs;
  const boundedMs = Math.min(
    MAX_RETRY_MS,
    Math.max(MIN_RETRY_MS, roomMs ?? base),
  );
  return Math.round(Math.min(boundedMs * jitter, Math.max(1, leftMs / 3)));
}
