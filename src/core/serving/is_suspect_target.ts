import type {ServingState} from './types.js';
import type {VmId} from '../ids/index.js';

/** Whether this node or a peer has marked the target as suspect. */
export function isSuspectTarget(
  {targetLoads, peerLoads}: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const ownUntilMs = targetLoads.get(vmId)?.suspectUntilMs ?? -Infinity;
  const peersUntilMs = peerLoads.get(vmId)?.suspectUntilMs ?? -Infinity;
  return Math.max(ownUntilMs, peersUntilMs) > nowMs;
}
