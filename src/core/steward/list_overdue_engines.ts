import type {ServingState} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Share of the lifetime of an entry without heartbeat after which one is overdue: more than one regular interval, with the delay of the store. */
const OVERDUE_SHARE = 0.55;

/**
 * Lists the engines whose heartbeat is overdue, so that the store may soon remove
 * their entries: they have ended, or are partitioned from the store. Empty while
 * most are overdue, since then it is this node that gets no heartbeats.
 */
export function listOverdueEngines(
  {heartbeatAtMs, deferredRemovals, bounds}: ServingState,
  nowMs: number,
): ReadonlySet<VmId> {
  const overdue = new Set<VmId>(deferredRemovals.keys());
  for (const [vmId, atMs] of heartbeatAtMs) {
    if (nowMs - atMs > OVERDUE_SHARE * bounds.listingMs) overdue.add(vmId);
  }
  return overdue.size > heartbeatAtMs.size / 2 ? new Set() : overdue;
}
