import type {CallerTimeouts} from './types.js';
import {estimateShortestFirstMs} from './estimate_shortest_first_ms.js';

const SAMPLE_COUNT = 64;
/** Number of new samples between two estimates, since each one sorts the sample; the first ones are all used. */
const ESTIMATE_INTERVAL = 8;
const SMALL_SAMPLE_COUNT = 16;
/**
 * Rate at which a lower estimate is taken over, as a share per second. After an
 * outage most requests are retries for some seconds, and would otherwise pass for
 * first attempts.
 */
const DECAY_PER_S = 0.01;
const MS_PER_S = 1000;

/** Records a time-out that a caller sent. */
export function recordTimeout(
  timeouts: CallerTimeouts,
  timeoutMs: number,
  nowMs: number,
): void {
  timeouts.recentMs[timeouts.count % SAMPLE_COUNT] = timeoutMs;
  timeouts.count += 1;
  const {count, recentMs, shortestFirstMs: beforeMs} = timeouts;
  if (count > SMALL_SAMPLE_COUNT && count % ESTIMATE_INTERVAL !== 0) return;
  const estimateMs = estimateShortestFirstMs(recentMs);
  const elapsedS = (nowMs - timeouts.updatedAtMs) / MS_PER_S;
  timeouts.updatedAtMs = nowMs;
  const floorMs =
    beforeMs === undefined
      ? -Infinity
      : beforeMs * (1 - Math.min(1, DECAY_PER_S * elapsedS));
  timeouts.shortestFirstMs = Math.max(estimateMs, floorMs);
}
