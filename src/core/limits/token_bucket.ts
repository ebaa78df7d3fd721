/** Rounding tolerance: sums of fractions fall short of whole numbers by less. */
const EPSILON = 1e-6;

/** Token bucket; callers pass its rate and bound with each call, since settings change. */
export class TokenBucket {
  private atMs: number;

  constructor(
    private tokens: number,
    nowMs: number,
  ) {
    this.atMs = nowMs;
  }

  /** Takes one token; false when there is none. */
  take(): boolean {
    if (this.tokens < 1 - EPSILON) return false;
    this.tokens -= 1;
    return true;
  }

  /** Adds tokens, up to a bound. */
  add(tokens: number, bound: number): void {
    this.tokens = Math.min(bound, this.tokens + tokens);
  }

  /** Adds the tokens that accrued at a rate since the last refill, up to a bound. */
  refill(nowMs: number, perMs: number, bound: number): void {
    this.add((nowMs - this.atMs) * perMs, bound);
    this.atMs = nowMs;
  }

  /** Time in milliseconds until a token is available again at a rate. */
  waitMs(perMs: number): number {
    return Math.max(0, 1 - this.tokens) / perMs;
  }
}
