/** Rate limit of each kind of line: burst size, and lines per second after it. */
const BURST_LINES = 400;
const LINES_PER_S = 100;
const MS_PER_S = 1000;

interface Permit {
  readonly allowed: boolean;
  /** Lines of this kind that were suppressed since the last allowed one. */
  readonly suppressed: number;
}

interface Bucket {
  tokens: number;
  atMs: number;
  suppressed: number;
}

/** Limits the rate of each kind of log line with a token bucket, and counts the suppressed lines. */
export class LogRateLimiter {
  private readonly buckets = new Map<string, Bucket>();

  /** Decides whether one line of a kind may be written now. */
  take(kind: string, nowMs: number): Permit {
    let bucket = this.buckets.get(kind);
    if (!bucket) {
      bucket = {tokens: BURST_LINES, atMs: nowMs, suppressed: 0};
      this.buckets.set(kind, bucket);
    }
    const passedMs = Math.max(0, nowMs - bucket.atMs);
    bucket.tokens = Math.min(
      BURST_LINES,
      bucket.tokens + (passedMs * LINES_PER_S) / MS_PER_S,
    );
    bucket.atMs = nowMs;
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      return {allowed: false, suppressed: 0};
    }
    bucket.tokens -= 1;
    const {suppressed} = bucket;
    bucket.suppressed = 0;
    return {allowed: true, suppressed};
  }
}
