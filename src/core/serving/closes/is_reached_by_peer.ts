import type {AttemptRecord, ServingState} from '../types.js';
import {TOGETHER_MS} from './together_ms.js';

/** Whether another node has probed the target since its body closed, and had a response. Reports without an age, of engines that only accepted the connection and of nodes of earlier builds, don't count. */
export function isReachedByPeer(
  {peers, nodeId}: ServingState,
  {vmId, closed}: AttemptRecord,
): boolean {
  for (const {digest, atMs} of peers.values()) {
    for (const report of digest.probeReports) {
      if (report.vmId !== vmId || report.nodeId === nodeId) continue;
      const {isSilent, ageMs = Infinity} = report;
      if (!isSilent && atMs - ageMs > closed!.atMs + TOGETHER_MS) return true;
    }
  }
  return false;
}
