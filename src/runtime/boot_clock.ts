import {performance} from 'node:perf_hooks';
import {uptime} from 'node:os';
import type {Clock} from './clock.js';

const MS_PER_S = 1000;
/** Drift between the wall clock and the monotonic clock above which the uptime is read. */
const LOOK_MS = 40;
/** Shorter suspensions are ignored, since the uptime has a resolution of 10 ms. */
const LEAST_SUSPENSION_MS = 30;

/**
 * A monotonic clock that includes the time during which the VM was suspended.
 *
 * The process's monotonic clock stops during a suspension, the uptime doesn't.
 * The wall clock only triggers a read of the uptime, since it may also be
 * adjusted without a suspension.
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
