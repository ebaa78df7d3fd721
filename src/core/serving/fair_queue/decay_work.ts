import {WORK_DECAY_MS} from './work_decay_ms.js';

/** Returns what is left of a decaying count of work after a time. */
export function decayWork(count: number, afterMs: number): number {
  return count * Math.exp(-Math.max(0, afterMs) / WORK_DECAY_MS);
}
