import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Withdraws the request to peers to probe a target, unless its end is suspected otherwise. */
export function endPeerProbes(
  {reachability, steward}: ServingState,
  vmId: VmId,
): void {
  if (reachability.suspectedEnds.has(vmId)) return;
  steward.probeRequests.delete(vmId);
}
