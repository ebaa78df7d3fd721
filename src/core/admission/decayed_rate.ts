const TIME_CONSTANT_MS = 3000;

/** Event rate that decays exponentially without new events. */
export class DecayedRate {
  private count = 0;
  private atMs = 0;

  /** Counts one event. */
  add(nowMs: number): void {
    this.count = this.decayed(nowMs) + 1;
    this.atMs = nowMs;
  }

  /** Current rate, in events per millisecond. */
  perMs(nowMs: number): number {
    return this.decayed(nowMs) / TIME_CONSTANT_MS;
  }

  private decayed(nowMs: number): number {
    return this.count * Math.exp((this.atMs - nowMs) / TIME_CONSTANT_MS);
  }
}
