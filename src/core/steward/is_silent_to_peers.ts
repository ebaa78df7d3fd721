import type {VmId} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';
import {listProbeReports} from './list_probe_reports.js';

/** Whether at least `count` of the peers that were requested to probe an engine found it silent, and none reached it. */
export function isSilentToPeers(
  state: ServingState,
  vmId: VmId,
  count: number,
): boolean {
  const reports = [...listProbeReports(state, vmId).values()];
  return reports.every(Boolean) && reports.length >= count;
}
