import type {Clock} from '../../runtime/types.js';
import type {BodyReservation} from '../../http/types.js';
import type {LimitLog} from './limit_log.js';
import type {LimitReason, ListenerLimits, ListenerName} from './types.js';

/** Bodies up to this size may use the reserve of the small ones. */
const SMALL_BODY_BYTES = 64 * 1024;

/** The bytes of one body, from its first one until its request has been answered. */
class ReservedBody implements BodyReservation {
  sizeBytes = 0;
  progressAtMs: number;
  /** Bytes came in since the budget last looked; a clock reading for each part would cost more than the part. */
  hasProgress = false;
  private isClosed = false;
  private refuse?: (fault: 'no-memory' | 'stalled') => void;

  constructor(
    private readonly budget: BodyBudget,
    readonly listener: ListenerName,
    nowMs: number,
  ) {
    this.progressAtMs = nowMs;
  }

  add(sizeBytes: number): boolean {
    return !this.isClosed && this.budget.grow(this, sizeBytes);
  }

  onRefused(listener: (fault: 'no-memory' | 'stalled') => void): void {
    this.refuse = listener;
  }

  /** The body is complete; its request may be running, so that it is no longer ended. */
  complete(): void {
    this.budget.complete(this);
  }

  end(): void {
    this.close();
    this.refuse?.('stalled');
  }

  /** Releases the bytes. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.budget.release(this);
  }
}

/**
 * Bounds the memory of all bodies that are received or whose requests run.
 * Where it is used up, bodies that have stalled are ended in favour of others.
 */
export class BodyBudget {
  private usedBytes = 0;
  /** Bodies that are being received, the one with the oldest progress first. */
  private readonly receiving = new Set<ReservedBody>();

  constructor(
    private readonly limits: ListenerLimits,
    private readonly clock: Clock,
    private readonly log: LimitLog,
  ) {}

  open(listener: ListenerName): ReservedBody {
    const body = new ReservedBody(this, listener, this.clock.nowMs());
    this.receiving.add(body);
    return body;
  }

  /** Counts more bytes of a body; false when there is no memory for them. */
  grow(body: ReservedBody, sizeBytes: number): boolean {
    body.hasProgress = true;
    body.sizeBytes += sizeBytes;
    this.usedBytes += sizeBytes;
    const {bodyBytes, smallBodyBytes, pressureStallMs} = this.limits;
    const isSmall = body.sizeBytes <= SMALL_BODY_BYTES;
    const limitBytes = bodyBytes + (isSmall ? smallBodyBytes : 0);
    while (this.usedBytes > limitBytes) {
      const slowest = this.findSlowest();
      if (slowest === undefined || slowest === body) break;
      const stalledMs = this.clock.nowMs() - slowest.progressAtMs;
      // A small body takes the place of any other, so that ordinary requests get in.
      if (stalledMs < pressureStallMs && !isSmall) break;
      this.endBody(slowest, 'body-memory');
    }
    if (this.usedBytes <= limitBytes) return true;
    this.log.add(body.listener, 'body-memory');
    return false;
  }

  complete(body: ReservedBody): void {
    this.receiving.delete(body);
  }

  release(body: ReservedBody): void {
    this.receiving.delete(body);
    this.usedBytes -= body.sizeBytes;
  }

  /** Ends the slowest body of a listener if it has stalled, to free its connection. */
  endStalled(listener: ListenerName): boolean {
    const nowMs = this.clock.nowMs();
    this.findSlowest();
    for (const body of this.receiving) {
      if (nowMs - body.progressAtMs < this.limits.pressureStallMs) return false;
      if (body.listener !== listener || body.hasProgress) continue;
      this.endBody(body, 'body-stalled');
      return true;
    }
    return false;
  }

  /** Ends the bodies that have made no progress for too long. */
  sweep(): void {
    const nowMs = this.clock.nowMs();
    for (const body of [...this.receiving]) this.updateProgress(body, nowMs);
    for (const body of this.receiving) {
      if (nowMs - body.progressAtMs <= this.limits.bodyStallMs) return;
      this.endBody(body, 'body-stalled');
    }
  }

  /** The body whose progress is the longest ago. */
  private findSlowest(): ReservedBody | undefined {
    const nowMs = this.clock.nowMs();
    for (const body of this.receiving) {
      if (!this.updateProgress(body, nowMs)) return body;
    }
    return undefined;
  }

  /** Moves a body with progress behind the others; false if it has none. */
  private updateProgress(body: ReservedBody, nowMs: number): boolean {
    if (!body.hasProgress) return false;
    body.hasProgress = false;
    body.progressAtMs = nowMs;
    this.receiving.delete(body);
    this.receiving.add(body);
    return true;
  }

  private endBody(body: ReservedBody, reason: LimitReason): void {
    this.log.add(body.listener, reason);
    body.end();
  }
}
