import type {SignRecord} from './types.js';

/** Waits below which the estimate is not used. */
const MIN_WAIT_COUNT = 8;
/** Limits until then: the times after which streams count as stalled, and responses as late. */
const DEFAULT_GAP_MS = 320;
const DEFAULT_FIRST_MS = 1000;

/** Longest wait for a sign that is usual: the mean and `deviations` times the mean deviation, as for retransmissions of TCP. */
export function waitLimitMs(
  {startedCount, firstWait, gapWait}: SignRecord,
  deviations: number,
  minMs: number,
): number {
  const hasStarted = startedCount > 0;
  const {meanMs, deviationMs, count} = hasStarted ? gapWait : firstWait;
  const defaultMs = hasStarted ? DEFAULT_GAP_MS : DEFAULT_FIRST_MS;
  if (count < MIN_WAIT_COUNT) return defaultMs;
  const limitMs = Math.max(minMs, meanMs + deviations * deviationMs);
  return hasStarted ? Math.min(DEFAULT_GAP_MS, limitMs) : limitMs;
}
