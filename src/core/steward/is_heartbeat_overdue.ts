import type {ServingState} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Share of the lifetime of an entry without heartbeat after which one is overdue: more than one regular interval, with the delay of the store. */
const OVERDUE_SHARE = 0.55;

/** Whether an engine's heartbeat is overdue, so that the store may soon remove its entry: the engine has ended, or is partitioned from the store. */
export function isHeartbeatOverdue(
  {heartbeatAtMs, deferredRemovals, bounds}: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  if (deferredRemovals.has(vmId)) return true;
  const atMs = heartbeatAtMs.get(vmId) ?? -Infinity;
  return nowMs - atMs > OVERDUE_SHARE * bounds.listingMs;
}
