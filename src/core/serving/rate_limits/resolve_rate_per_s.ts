/** Lowest rate at which a limited engine is used: its responses are the only sign that the limit has ended. */
const MIN_RATE_PER_S = 0.1;

/** Returns the rate at which an engine with a limit is used. */
export function resolveRatePerS(limitPerS: number): number {
  return Math.max(MIN_RATE_PER_S, limitPerS);
}
