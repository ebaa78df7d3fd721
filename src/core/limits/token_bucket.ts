/** Sums of fractions fall short of whole numbers by less. */
const EPSILON = 1e-6;

/** Tokens that refill at a rate up to a bound; callers state both, since settings change. */
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

  /** Adds what a rate gave since the last call, up to a bound. */
  refill(nowMs: number, perMs: number, bound: number): void {
    this.add((nowMs - this.atMs) * perMs, bound);
    this.atMs = nowMs;
  }

  /** Time until there is a token again at a rate. */
  waitMs(perMs: number): number {
    return Math.max(0, 1 - this.tokens) / perMs;
  }
}
