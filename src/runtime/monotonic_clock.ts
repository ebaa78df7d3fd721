import type {Clock} from './clock.js';
import {performance} from 'node:perf_hooks';

/** Milliseconds since the Unix epoch: the process's monotonic clock, anchored to the wall clock at process start. */
export class MonotonicClock implements Clock {
  nowMs(): number {
    return performance.timeOrigin + performance.now();
  }
}
