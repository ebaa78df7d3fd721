import type {CallerTimeouts} from './types.js';
import type {Route} from '../../access/types.js';
import type {ServingRequest, ServingState} from '../types.js';
import {recordTimeout} from './record_timeout.js';

/**
 * Estimates when a caller first sent a request; the latency goal counts from
 * then. A caller that retries sends the rest of its time-out, so a time-out that
 * is shorter than those of first attempts shows that time has already passed.
 * Callers that only are less patient than others have spent nothing.
 */
export function estimateFirstSentAtMs(
  state: ServingState,
  route: Route,
  {callerTimeoutMs, arrivedAtMs}: ServingRequest,
): number {
  if (callerTimeoutMs === undefined) return arrivedAtMs;
  const timeouts = resolveTimeouts(state, route.name, arrivedAtMs);
  recordTimeout(timeouts, callerTimeoutMs, arrivedAtMs);
  const {shortestFirstMs = 0} = timeouts;
  return arrivedAtMs - Math.max(0, shortestFirstMs - callerTimeoutMs);
}

function resolveTimeouts(
  {callerTimeoutsByRoute}: ServingState,
  routeName: string,
  nowMs: number,
): CallerTimeouts {
  let timeouts = callerTimeoutsByRoute.get(routeName);
  if (!timeouts) {
    timeouts = {recentMs: [], count: 0, updatedAtMs: nowMs};
    callerTimeoutsByRoute.set(routeName, timeouts);
  }
  return timeouts;
}
