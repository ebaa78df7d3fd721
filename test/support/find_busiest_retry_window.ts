import type {ServingWorld} from '../../src/replay/serving/index.js';
import {countBetween} from './count_between.js';
import {SERVING_BOUNDS} from '../../src/replay/serving/index.js';

/** Retries in one window, and the number that is allowed there. */
interface RetryCount {
  readonly retries: number;
  readonly allowed: number;
}

/** Returns the window in which the fleet's retries exceed the budget most, or come closest to it. */
export function findBusiestRetryWindow(world: ServingWorld): RetryCount {
  const {repeatRatio, repeatSlack, repeatWindowMs} = SERVING_BOUNDS;
  const requestsFrom = (fromMs: number) =>
    countBetween(world.requestTimesMs, fromMs, fromMs + repeatWindowMs);
  const retryTimesMs = listRetryTimesMs(world);
  let busiest: RetryCount = {retries: 0, allowed: repeatSlack};
  for (const fromMs of retryTimesMs) {
    const requests = Math.max(
      requestsFrom(fromMs),
      requestsFrom(fromMs - repeatWindowMs / 2),
      requestsFrom(fromMs - repeatWindowMs),
    );
    const retries = countBetween(retryTimesMs, fromMs, fromMs + repeatWindowMs);
    const allowed = repeatRatio * requests + repeatSlack;
    if (retries - allowed > busiest.retries - busiest.allowed) {
      busiest = {retries, allowed};
    }
  }
  return busiest;
}

/** Returns when attempts beyond the first of their request reached an engine. */
function listRetryTimesMs({network}: ServingWorld): number[] {
  const seen = new Set<string>();
  return network.arrivals
    .filter(({requestId}) => {
      const isRetry = seen.has(requestId);
      seen.add(requestId);
      return isRetry;
    })
    .map(({atMs}) => atMs);
}
