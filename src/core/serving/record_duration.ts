import type {RequestRecord, ServingStep} from './types.js';

/** Weight of a shorter duration: the value falls to a change of load within some hundred requests, and stays close to the longest ones. */
const DECAY_WEIGHT = 0.02;

/** Updates how long requests of a route take at most, from one that has ended. */
export function recordDuration(
  {state, nowMs}: ServingStep,
  {route, request}: RequestRecord,
): void {
  const durationMs = nowMs - request.arrivedAtMs;
  const longMs = state.longDurationMsByRoute.get(route.name) ?? 0;
  const nextMs = Math.max(
    durationMs,
    longMs + DECAY_WEIGHT * (durationMs - longMs),
  );
  state.longDurationMsByRoute.set(route.name, nextMs);
}
