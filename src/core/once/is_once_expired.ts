import type {OnceEntry} from './once_entry.js';

/** How far the clocks of two nodes may be apart. */
const CLOCK_SKEW_MS = 60_000;

/** Whether a key's retention is over on every node's clock. */
export function isOnceExpired(entry: OnceEntry, nowMs: number): boolean {
  return nowMs > entry.expiresAtMs + CLOCK_SKEW_MS;
}
