import type {Route} from '../access/types.js';
import type {ServingRequest, ServingState} from './types.js';

/**
 * Estimates when a caller first sent a request. A caller that retries sends the
 * rest of its time-out, so the difference to the route's longest time-out is taken
 * as time already spent; the latency goal counts from the first attempt.
 */
export function firstAskedAtMs(
  state: ServingState,
  route: Route,
  {patienceMs, arrivedAtMs}: ServingRequest,
): number {
  if (patienceMs === undefined) return arrivedAtMs;
  const longestMs = state.patienceMs.get(route.name) ?? 0;
  if (patienceMs >= longestMs) {
    state.patienceMs.set(route.name, patienceMs);
    return arrivedAtMs;
  }
  return arrivedAtMs - (longestMs - patienceMs);
}
