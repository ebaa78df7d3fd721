import type {TargetsState} from './targets_state.js';
import type {VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';

/** Whether a VM's latest report is at most `freshMs` old and newer than the last refused poll or failed connection to it. */
export function hasFreshReport(
  targets: TargetsState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const latest = targets.reports.get(vmId);
  if (!latest || nowMs - latest.reportedAtMs > TARGET_TIMING.freshMs)
    return false;
  const ignoredUntilMs = targets.health.get(vmId)?.reportsIgnoredUntilMs ?? 0;
  return latest.reportedAtMs > ignoredUntilMs;
}
