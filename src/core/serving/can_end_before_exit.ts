import type {RequestRecord, ServingState} from './types.js';
import {EXIT_MARGIN_MS} from './exit_margin_ms.js';

/** Whether a request that arrives now will probably end before this node exits; always on a node that isn't shutting down. */
export function canEndBeforeExit(
  {leavingSinceMs, bounds, longDurationMsByRoute}: ServingState,
  {route, deadlineAtMs}: Pick<RequestRecord, 'route' | 'deadlineAtMs'>,
  nowMs: number,
): boolean {
  if (leavingSinceMs === undefined) return true;
  const exitAtMs = leavingSinceMs + bounds.graceMs - EXIT_MARGIN_MS;
  const longMs = longDurationMsByRoute.get(route.name) ?? Infinity;
  return Math.min(nowMs + longMs, deadlineAtMs) <= exitAtMs;
}
