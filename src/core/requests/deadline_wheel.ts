import type {RequestRecord} from './request_record.js';

const BUCKET_MS = 50;

/** Live requests by deadline: constant cost to add, remove and expire one. */
export class DeadlineWheel {
  private readonly buckets = new Map<number, Set<RequestRecord>>();
  private nextBucket?: number;

  /** Adds a request that is due at a time. */
  add(record: RequestRecord, atMs: number): void {
    const bucket = Math.max(Math.ceil(atMs / BUCKET_MS), this.nextBucket ?? 0);
    const records = this.buckets.get(bucket) ?? new Set();
    records.add(record);
    this.buckets.set(bucket, records);
    record.deadlineBucket = bucket;
  }

  /** Removes a request; does nothing when it is not there. */
  remove(record: RequestRecord): void {
    const bucket = record.deadlineBucket;
    if (bucket === undefined) return;
    delete record.deadlineBucket;
    const records = this.buckets.get(bucket);
    if (records?.delete(record) && records.size === 0) {
      this.buckets.delete(bucket);
    }
  }

  /** Takes out every request that is due. */
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
    // After a long gap there are fewer buckets than steps of time.
    if (last - from > this.buckets.size) {
      return [...this.buckets.keys()].filter(b => b <= last).sort(byNumber);
    }
    const found: number[] = [];
    for (let bucket = from; bucket <= last; bucket++) {
      if (this.buckets.has(bucket)) found.push(bucket);
    }
    return found;
  }
}

function byNumber(a: number, b: number): number {
  return a - b;
}
