import type {Route} from '../../core/access/types.js';

/** Callers leave a stream that shows nothing for the longest of these: a time, and multiples of the goals of the route. */
const LEAST_MS = 2000;
const GOALS = 4;
const GAP_GOALS = 8;

/** How long a caller waits for the first event of a stream, or the next one, before it leaves. */
export function callerGapMs({goalMs, gapGoalMs}: Route): number {
  return Math.max(LEAST_MS, GOALS * goalMs, GAP_GOALS * (gapGoalMs ?? 0));
}
