import type {ReplicaTrack} from './types.js';
import type {ServingState} from '../serving/types.js';

/**
 * Whether a replica's head no longer serves because its process has ended: no
 * node reaches it, and it was closed before or the store lists it no longer. A
 * head that the store lists may still be open, since it renews its entry
 * regularly: all nodes may be partitioned from it. A leaving head stops listening
 * while it finishes its requests.
 */
export function hasHeadEnded(
  state: ServingState,
  track: ReplicaTrack,
): boolean {
  if (track.isHeadLeaving && !track.isClosed) return false;
  const vmId = track.members[0]!;
  const bornAtMs = track.bornAtMs.get(vmId);
  const end = state.reachability.suspectedEnds.get(vmId);
  if (bornAtMs === undefined || end?.bornAtMs !== bornAtMs) return false;
  if (!end.isConfirmed) return false;
  return track.isClosed || !state.engines.has(vmId);
}
