import {performance} from 'node:perf_hooks';
import {uptime} from 'node:os';
import type {Clock} from './clock.js';

const MS_PER_S = 1000;
/** Difference of the time of day to the steady clock that calls for a look at the uptime. */
const LOOK_MS = 40;
/** Least suspension that counts: the uptime has a resolution of 10 ms. */
const LEAST_SUSPENSION_MS = 30;

/**
 * A monotonic clock that also counts the time in which the VM was suspended.
 *
 * The steady clock of the process stands still during a suspension, the uptime
 * doesn't. The time of day only tells when to look at the uptime, since it may
 * jump by itself.
 */
export class BootClock implements Clock {
  private readonly startUptimeMs = uptime() * MS_PER_S;
  private readonly startSteadyMs = performance.now();
  private lastWallMs = Date.now();
  private lastSteadyMs = this.startSteadyMs;
  private suspendedMs = 0;

  nowMs(): number {
    const steadyMs = performance.now();
    const wallMs = Date.now();
    const drift = wallMs - this.lastWallMs - (steadyMs - this.lastSteadyMs);
    if (Math.abs(drift) > LOOK_MS) {
      this.lookAtUptime(steadyMs);
      this.lastWallMs = wallMs;
      this.lastSteadyMs = steadyMs;
    }
    return steadyMs + this.suspendedMs;
  }

  private lookAtUptime(steadyMs: number): void {
    const upMs = uptime() * MS_PER_S - this.startUptimeMs;
    const suspendedMs = upMs - (steadyMs - this.startSteadyMs);
    if (suspendedMs - this.suspendedMs > LEAST_SUSPENSION_MS) {
      this.suspendedMs = suspendedMs;
    }
  }
}
