import type {ServingState} from '../types.js';
import {countWork} from './count_work.js';

/** Interval between two passes over all counts. */
const EXPIRY_INTERVAL_MS = 5000;
/** Smaller counts are removed. */
const MIN_TOKENS = 1;

/** Removes counts that have decayed, so that organisations and pools that are no longer used take no memory. */
export function expireWork({fairQueue}: ServingState, nowMs: number): void {
  if (nowMs - fairQueue.expiredAtMs < EXPIRY_INTERVAL_MS) return;
  fairQueue.expiredAtMs = nowMs;
  for (const [pool, {own, peers, byPriority, dispatches}] of fairQueue.pools) {
    for (const [organisationId, recent] of own) {
      if (countWork(recent, nowMs) < MIN_TOKENS) own.delete(organisationId);
    }
    for (const [organisationId, {byPeer, total}] of peers) {
      for (const [key, recent] of byPeer) {
        if (countWork(recent, nowMs) < MIN_TOKENS) byPeer.delete(key);
      }
      if (byPeer.size === 0 || countWork(total, nowMs) < MIN_TOKENS) {
        peers.delete(organisationId);
      }
    }
    for (const [priority, {arrivals}] of byPriority) {
      // A few thousandths of a request have no effect on any share.
      if (countWork(arrivals, nowMs) < 0.01) byPriority.delete(priority);
    }
    const isUnused =
      own.size === 0 && peers.size === 0 && byPriority.size === 0;
    if (isUnused && countWork(dispatches, nowMs) < 0.01) {
      fairQueue.pools.delete(pool);
    }
  }
}
