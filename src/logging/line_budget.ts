/** Lines of one kind that may come at once, and per second after that. */
const BURST_LINES = 400;
const LINES_PER_S = 100;
const MS_PER_S = 1000;

interface Pass {
  readonly allowed: boolean;
  /** Lines of this kind that were left out since the last one. */
  readonly suppressed: number;
}

interface Bucket {
  tokens: number;
  atMs: number;
  suppressed: number;
}

/** Bounds the lines of each kind, and counts those that are left out. */
export class LineBudget {
  private readonly buckets = new Map<string, Bucket>();

  take(kind: string, nowMs: number): Pass {
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
