import {performance} from 'node:perf_hooks';
import {uptime} from 'node:os';
import type {Clock} from './clock.js';

const MS_PER_S = 1000;
/** Drift between the wall clock and the monotonic clock above which the uptime is read. */
const DRIFT_THRESHOLD_MS = 40;
/** Shorter suspensions are ignored, since the uptime has a resolution of 10 ms. */
const MIN_SUSPENSION_MS = 30;

/**
 * A monotonic clock that includes the time during which the VM was suspended.
 *
 * The process's monotonic clock stops during a suspension, the uptime doesn't.
 * The wall clock only triggers a read of the uptime, since it may also be
 * adjusted without a suspension.
 */
export class SuspendAwareClock implements Clock {
  private readonly startUptimeMs = uptime() * MS_PER_S;
  private readonly startMonotonicMs = performance.now();
  private lastWallMs = Date.now();
  private lastMonotonicMs = this.startMonotonicMs;
  private suspendedMs = 0;

  nowMs(): number {
    const monotonicMs = performance.now();
    const wallMs = Date.now();
    const driftMs =
      wallMs - this.lastWallMs - (monotonicMs - this.lastMonotonicMs);
    if (Math.abs(driftMs) > DRIFT_THRESHOLD_MS) {
      this.updateSuspension(monotonicMs);
      this.lastWallMs = wallMs;
      this.lastMonotonicMs = monotonicMs;
    }
    return monotonicMs + this.suspendedMs;
  }

  private updateSuspension(monotonicMs: number): void {
    const uptimeMs = uptime() * MS_PER_S - this.startUptimeMs;
    const suspendedMs = uptimeMs - (monotonicMs - this.startMonotonicMs);
    if (suspendedMs - this.suspendedMs > MIN_SUSPENSION_MS) {
      this.suspendedMs = suspendedMs;
    }
  }
}
