import type {TargetsState} from './targets_state.js';
import type {VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';

/** Whether a VM's latest report is at most `freshMs` old and newer than the last refused poll or failed connection to it. */
export function isFresh(
  targets: TargetsState,
  vmId: VmId,
  nowMs: number,
): boolean {
  const seen = targets.reports.get(vmId);
  if (!seen || nowMs - seen.trueAtMs > TARGET_TIMING.freshMs) return false;
  const distrusted = targets.health.get(vmId)?.distrustedUntilMs ?? 0;
  return seen.trueAtMs > distrusted;
}
