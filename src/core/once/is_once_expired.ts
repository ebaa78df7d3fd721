import type {OnceEntry} from './once_entry.js';

/** Maximum clock skew between two nodes. */
const CLOCK_SKEW_MS = 60_000;

/** Whether an entry's retention is over by the clock of every node. */
export function isOnceExpired(entry: OnceEntry, nowMs: number): boolean {
  return nowMs > entry.expiresAtMs + CLOCK_SKEW_MS;
}
