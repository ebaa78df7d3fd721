import type {Clock} from './clock.js';
import {performance} from 'node:perf_hooks';

/** The process's monotonic clock. */
export class MonotonicClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }
}
