import type {NodeState} from '../state/types.js';
import type {VmId} from '../ids/index.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {hasFreshReport} from '../targets/index.js';

/** Whether a VM may join a replica: listed, reporting, unassigned, and stable for long enough. */
export function isFreeVm(
  {targets}: NodeState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const record = targets.vms.get(vmId);
  const health = targets.health.get(vmId);
  if (!health || record?.kind !== 'engine') return false;
  if (record.state !== 'live' || !hasFreshReport(targets, vmId, nowMs))
    return false;
  const {report} = targets.reports.get(vmId)!;
  if (report.state !== 'idle' || report.assignment) return false;
  return nowMs - health.freshSinceMs >= resolveHoldMs(health.losses);
}

/** After each loss, a VM must be stable for twice as long before it is used again. */
function resolveHoldMs(losses: number): number {
  if (losses === 0) return 0;
  const holdMs = STEWARD_TIMING.holdBaseMs * 2 ** (losses - 1);
  return Math.min(holdMs, STEWARD_TIMING.holdMaxMs);
}
