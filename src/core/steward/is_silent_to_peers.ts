import type {NodeId, VmId} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';

/** Whether at least `count` of the peers that were requested to probe an engine found it silent, and none reached it. */
export function isSilentToPeers(
  state: ServingState,
  vmId: VmId,
  count: number,
): boolean {
  const isSilent = new Map<NodeId, boolean>();
  for (const {digest} of state.peers.values()) {
    for (const report of digest.probeReports) {
      if (report.vmId !== vmId || report.nodeId === state.nodeId) continue;
      isSilent.set(report.nodeId, report.isSilent);
    }
  }
  const reports = [...isSilent.values()];
  return reports.every(Boolean) && reports.length >= count;
}
