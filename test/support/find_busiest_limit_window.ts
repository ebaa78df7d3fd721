import type {ServingWorld} from '../../src/replay/serving/index.js';
import type {VmId} from '../../src/core/ids/index.js';
import {countBetween} from './count_between.js';

/** Bound of the engine contract: requests in a window, as a factor on the limit and a constant. */
const WINDOW_MS = 4000;
const FACTOR = 1.5;
const SLACK = 5;
const MS_PER_S = 1000;
/** Step at which a changing limit is summed. */
const STEP_MS = 100;

interface LimitCount {
  readonly requests: number;
  readonly allowed: number;
}

/** Returns the window after `fromMs` in which an engine gets the most requests beyond its limit, or comes closest to it. */
export function findBusiestLimitWindow(
  world: ServingWorld,
  vmId: VmId,
  limitPerSAt: (atMs: number) => number | undefined,
  fromMs: number,
): LimitCount {
  const timesMs = world.network.arrivals
    .filter(one => one.vmId === vmId)
    .map(({atMs}) => atMs);
  let busiest: LimitCount = {requests: 0, allowed: SLACK};
  for (const atMs of timesMs) {
    if (atMs < fromMs) continue;
    const limited = sumLimit(limitPerSAt, atMs);
    if (limited === undefined) continue;
    const requests = countBetween(timesMs, atMs, atMs + WINDOW_MS);
    const allowed = FACTOR * limited + SLACK;
    if (requests - allowed > busiest.requests - busiest.allowed) {
      busiest = {requests, allowed};
    }
  }
  return busiest;
}

/** Returns the requests that a limit allows in a window; undefined if it ends there. */
function sumLimit(
  limitPerSAt: (atMs: number) => number | undefined,
  fromMs: number,
): number | undefined {
  let sum = 0;
  for (let atMs = fromMs; atMs < fromMs + WINDOW_MS; atMs += STEP_MS) {
    const limitPerS = limitPerSAt(atMs);
    if (limitPerS === undefined) return undefined;
    sum += (limitPerS * STEP_MS) / MS_PER_S;
  }
  return sum;
}
