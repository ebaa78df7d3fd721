import type {Route} from '../access/types.js';
import type {ServingRequest, ServingState} from './types.js';

/**
 * Estimates when a caller first sent a request. A caller that retries sends the
 * rest of its time-out, so the difference to the route's longest time-out is taken
 * as time already spent; the latency goal counts from the first attempt.
 */
export function estimateFirstSentAtMs(
  state: ServingState,
  route: Route,
  {callerTimeoutMs, arrivedAtMs}: ServingRequest,
): number {
  if (callerTimeoutMs === undefined) return arrivedAtMs;
  const longestMs = state.longestTimeoutMsByRoute.get(route.name) ?? 0;
  if (callerTimeoutMs >= longestMs) {
    state.longestTimeoutMsByRoute.set(route.name, callerTimeoutMs);
    return arrivedAtMs;
  }
  return arrivedAtMs - (longestMs - callerTimeoutMs);
}
