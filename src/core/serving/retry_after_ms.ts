import {firstReturnMs} from './announcements/index.js';
import type {Placement, RequestRecord, ServingStep} from './types.js';

/** Usual time from the loss of a replica to its repair with a warm spare. */
const REPAIR_MS = 900;
/** Bounds of what callers are told; sooner than the first meets the same load. */
const MIN_RETRY_MS = 150;
const MAX_RETRY_MS = 2000;
/** Part of the time by which returns are spread, so that they don't come as one wave. */
const SPREAD = 0.5;

/** When a place is expected for a request that is turned away. */
export function retryAfterMs(
  step: ServingStep,
  record: RequestRecord,
  placement: Placement | undefined,
): number {
  const {state, nowMs} = step;
  const spread = 1 + SPREAD * state.random.next();
  const returnMs = firstReturnMs(state, record.pool, nowMs);
  if (returnMs !== undefined) {
    return Math.round(Math.max(MIN_RETRY_MS, returnMs * spread));
  }
  const waiting = state.waiting.get(record.pool)?.length ?? 0;
  const targets = state.targetsByPool.get(record.pool)?.length ?? 0;
  const base = placement
    ? placement.firstMs + (waiting * placement.firstMs) / Math.max(1, targets)
    : REPAIR_MS;
  const leftMs = record.giveUpAtMs - nowMs;
  const wantedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, base));
  return Math.round(Math.min(wantedMs * spread, Math.max(1, leftMs / 3)));
}
