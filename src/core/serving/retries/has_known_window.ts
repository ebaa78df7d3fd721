import type {ServingState} from '../types.js';

/** Whether this node knows all retries in its window: no earlier process of it can have made others. */
export function hasKnownWindow(
  {isFirstStart, startedAtMs, bounds, retries}: ServingState,
  nowMs: number,
): boolean {
  if (isFirstStart || retries.inherited !== undefined) return true;
  return nowMs - (startedAtMs ?? nowMs) > bounds.repeatWindowMs;
}
