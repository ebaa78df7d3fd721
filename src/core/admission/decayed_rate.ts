const TIME_CONSTANT_MS = 3000;

/** Events per millisecond, decayed exponentially. */
export class DecayedRate {
  private count = 0;
  private atMs = 0;

  /** Counts one event. */
  add(nowMs: number): void {
    this.count = this.decayed(nowMs) + 1;
    this.atMs = nowMs;
  }

  perMs(nowMs: number): number {
    return this.decayed(nowMs) / TIME_CONSTANT_MS;
  }

  private decayed(nowMs: number): number {
    return this.count * Math.exp((this.atMs - nowMs) / TIME_CONSTANT_MS);
  }
}
