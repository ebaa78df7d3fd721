import type {Route} from '../access/types.js';
import type {ServingRequest, ServingState} from './types.js';

/**
 * When a caller first asked, as far as its patience tells: callers that come
 * back say how much of their time is left, and the goal counts from the start.
 */
export function firstAskedAtMs(
  state: ServingState,
  route: Route,
  {patienceMs, arrivedAtMs}: ServingRequest,
): number {
  if (patienceMs === undefined) return arrivedAtMs;
  const known = state.patienceMs.get(route.name) ?? 0;
  if (patienceMs >= known) {
    state.patienceMs.set(route.name, patienceMs);
    return arrivedAtMs;
  }
  return arrivedAtMs - (known - patienceMs);
}
