import {SEND_DECAY_MS} from './send_decay_ms.js';

/** Returns what is left of a decaying count after a time. */
export function decayCount(count: number, afterMs: number): number {
  return count * Math.exp(-Math.max(0, afterMs) / SEND_DECAY_MS);
}
