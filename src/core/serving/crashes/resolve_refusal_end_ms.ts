const MAX_DOUBLINGS = 6;

interface RefusalOptions {
  /** Losses that make a suspect. */
  readonly minLosses: number;
  /** Time for which it is refused after them; doubles with each loss in a trial. */
  readonly refusalMs: number;
}

/** Time until which a suspect is refused, from the times of its losses. */
export function resolveRefusalEndMs(
  lossTimes: readonly number[],
  {minLosses, refusalMs}: RefusalOptions,
): number {
  let untilMs = -Infinity;
  let doublings = 0;
  for (const atMs of lossTimes.slice(minLosses - 1)) {
    const isTrial = untilMs > -Infinity && atMs > untilMs;
    if (isTrial) doublings = Math.min(MAX_DOUBLINGS, doublings + 1);
    untilMs = Math.max(untilMs, atMs + refusalMs * 2 ** doublings);
  }
  return untilMs;
}
