import type {RequestRecord} from './request_record.js';

/** Width of a bucket; deadlines are rounded up to it. */
const BUCKET_MS = 50;

/** Timer wheel of live requests by deadline; adding, removing and expiring one take constant time. */
export class DeadlineWheel {
  private readonly buckets = new Map<number, Set<RequestRecord>>();
  private nextBucket?: number;

  /** Adds a request that expires at `atMs`. */
  add(record: RequestRecord, atMs: number): void {
    const bucket = Math.max(Math.ceil(atMs / BUCKET_MS), this.nextBucket ?? 0);
    const records = this.buckets.get(bucket) ?? new Set();
    records.add(record);
    this.buckets.set(bucket, records);
    record.deadlineBucket = bucket;
  }

  /** Removes a request; does nothing when it is not in the wheel. */
  remove(record: RequestRecord): void {
    const bucket = record.deadlineBucket;
    if (bucket === undefined) return;
    delete record.deadlineBucket;
    const records = this.buckets.get(bucket);
    if (records?.delete(record) && records.size === 0) {
      this.buckets.delete(bucket);
    }
  }

  /** Removes and returns every request whose deadline has passed. */
  takeDue(nowMs: number): RequestRecord[] {
    const last = Math.floor(nowMs / BUCKET_MS);
    const due: RequestRecord[] = [];
    for (const bucket of this.dueBuckets(last)) {
      due.push(...this.buckets.get(bucket)!);
      this.buckets.delete(bucket);
    }
    this.nextBucket = last + 1;
    for (const record of due) delete record.deadlineBucket;
    return due;
  }

  private dueBuckets(last: number): number[] {
    const from = this.nextBucket ?? -Infinity;
    // After a long gap, scanning the existing buckets is cheaper than stepping through the gap.
    if (last - from > this.buckets.size) {
      return [...this.buckets.keys()].filter(b => b <= last).sort(byNumber);
    }
    const due: number[] = [];
    for (let bucket = from; bucket <= last; bucket++) {
      if (this.buckets.has(bucket)) due.push(bucket);
    }
    return due;
  }
}

function byNumber(a: number, b: number): number {
  return a - b;
}
