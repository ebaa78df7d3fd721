/** Counts the times in a half-open interval; `timesMs` is sorted. */
export function countBetween(
  timesMs: readonly number[],
  fromMs: number,
  untilMs: number,
): number {
  return findFirstFrom(timesMs, untilMs) - findFirstFrom(timesMs, fromMs);
}

function findFirstFrom(timesMs: readonly number[], fromMs: number): number {
  let low = 0;
  let high = timesMs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (timesMs[middle]! < fromMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
