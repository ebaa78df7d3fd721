import type {TargetsState} from './targets_state.js';
import type {VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';
import {hasFreshReport} from './has_fresh_report.js';

/** Whether a VM is considered lost: it has no fresh report, and either that lasts for `lostMs` or the VM list lacks it. */
export function isVmLost(
  targets: TargetsState,
  vmId: VmId,
  nowMs: number,
): boolean {
  if (hasFreshReport(targets, vmId, nowMs)) return false;
  const health = targets.health.get(vmId);
  if (!health || health.absentSinceMs !== undefined) return true;
  const {staleSinceMs} = health;
  return (
    staleSinceMs !== undefined && nowMs - staleSinceMs >= TARGET_TIMING.lostMs
  );
}
