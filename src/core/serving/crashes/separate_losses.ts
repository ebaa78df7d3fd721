import type {CrashReport} from './types.js';

/** Crashes within this time of the first have one cause, such as the loss of a fabric domain. */
const SAME_CAUSE_MS = 50;

/** Times of the crashes that don't share a cause; `reports` are in order of time. */
export function separateLosses(reports: readonly CrashReport[]): number[] {
  const times: number[] = [];
  for (const {atMs} of reports) {
    if (atMs - (times.at(-1) ?? -Infinity) > SAME_CAUSE_MS) times.push(atMs);
  }
  return times;
}
