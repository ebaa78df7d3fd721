import type {SignRecord} from './types.js';
import {waitLimitMs} from './wait_limit_ms.js';

/** Weight of the newest wait: some ten waits determine the estimate. */
const SAMPLE_WEIGHT = 0.125;
/** Usual waits are shorter than this limit; a silence counts at most twice that, so that it does not hide the next one. */
const USUAL_DEVIATIONS = 4;
const MIN_USUAL_MS = 100;

/** Updates the estimate of the waits for signs, when one arrives. */
export function recordWait(signs: SignRecord, nowMs: number): void {
  const {awaitedSinceMs, inFlight, startedCount} = signs;
  if (awaitedSinceMs === undefined || inFlight === 0) return;
  const estimate = startedCount > 0 ? signs.gapWait : signs.firstWait;
  const usualMs = waitLimitMs(signs, USUAL_DEVIATIONS, MIN_USUAL_MS);
  const waitMs = Math.min(nowMs - awaitedSinceMs, 2 * usualMs);
  estimate.count += 1;
  const weight = Math.max(SAMPLE_WEIGHT, 1 / estimate.count);
  const differenceMs = waitMs - estimate.meanMs;
  estimate.meanMs += weight * differenceMs;
  if (estimate.count === 1) return;
  estimate.deviationMs +=
    weight * (Math.abs(differenceMs) - estimate.deviationMs);
}
