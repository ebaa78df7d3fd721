/** Share of the range of first attempts' time-outs that lies between the median and the upper quantile. */
const UPPER_QUANTILE = 0.9;
const MEDIAN = 0.5;

/**
 * Estimates the shortest time-out of a first attempt from a sample of time-outs.
 *
 * Callers differ in patience, and a caller that retries sends what is left of its
 * time-out. The upper half of the sample consists of first attempts unless most
 * requests are retries, so its width shows how far first attempts reach below the
 * median. Few callers with a very long time-out don't move the estimate.
 */
export function estimateShortestFirstMs(samplesMs: readonly number[]): number {
  const sorted = [...samplesMs].sort((a, b) => a - b);
  const medianMs = quantile(sorted, MEDIAN);
  const upperMs = quantile(sorted, UPPER_QUANTILE);
  const lowerHalfRatio = MEDIAN / (UPPER_QUANTILE - MEDIAN);
  return medianMs - lowerHalfRatio * (upperMs - medianMs);
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))]!;
}
