import type {NodeId, VmId} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';

/** Lists the peers that probed an engine lately, and whether it was silent to each. */
export function listProbeReports(
  state: ServingState,
  vmId: VmId,
): Map<NodeId, boolean> {
  const isSilent = new Map<NodeId, boolean>();
  for (const {digest} of state.peers.values()) {
    for (const report of digest.probeReports) {
      if (report.vmId !== vmId || report.nodeId === state.nodeId) continue;
      isSilent.set(report.nodeId, report.isSilent);
    }
  }
  return isSilent;
}
