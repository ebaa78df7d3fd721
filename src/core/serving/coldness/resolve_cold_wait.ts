import type {ColdWait} from './types.js';
import type {RequestRecord, ServingState} from '../types.js';
import {COLD_WINDOW_MS} from './cold_window_ms.js';
import {findColdOpening} from './find_cold_opening.js';

/** Returns when a request's targets open if all that are left are cold and closed to this node; undefined if any is open. `ahead`: requests that are served before. */
export function resolveColdWait(
  state: ServingState,
  record: RequestRecord,
  ahead: number,
  nowMs: number,
): ColdWait | undefined {
  const {pool, triedTargets, waitDeadlineAtMs} = record;
  let opensAtMs = Infinity;
  let isWarmInTime = false;
  let slots = 0;
  for (const target of state.targetsByPool.get(pool) ?? []) {
    if (triedTargets.has(target.vmId)) continue;
    const opening = findColdOpening(state, record, target, nowMs);
    if (!opening) return undefined;
    opensAtMs = Math.min(opensAtMs, opening.opensAtMs);
    isWarmInTime ||= opening.warmAtMs <= waitDeadlineAtMs;
    const windows = (waitDeadlineAtMs - nowMs) / COLD_WINDOW_MS;
    if (opening.quota > 0) slots += opening.quota * Math.floor(windows);
  }
  if (opensAtMs === Infinity) return undefined;
  const hasSlot = opensAtMs <= waitDeadlineAtMs && ahead < slots;
  return {opensAtMs, canWait: isWarmInTime || hasSlot};
}
