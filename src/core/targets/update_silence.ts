import type {Step} from '../state/types.js';
import type {VmHealth} from './vm_health.js';
import type {VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';
import {hasFreshReport} from './has_fresh_report.js';
import {isVmLost} from './is_vm_lost.js';

/** The loss counter of a VM starts again if its last loss is longer ago. */
const LOSS_RETENTION_MS = 600_000;

/** Records since when a VM has no fresh report, and counts a loss once it is considered lost. */
export function updateSilence(step: Step, vmId: VmId, health: VmHealth): void {
  const {targets} = step.state;
  if (hasFreshReport(targets, vmId, step.nowMs)) return;
  if (health.staleSinceMs === undefined) {
    const reportedAtMs = targets.reports.get(vmId)?.reportedAtMs ?? step.nowMs;
    const staleAtMs = reportedAtMs + TARGET_TIMING.freshMs;
    health.staleSinceMs = Math.min(step.nowMs, staleAtMs);
  }
  if (health.isLost || !isVmLost(targets, vmId, step.nowMs)) return;
  health.isLost = true;
  if (health.freshSinceMs === -Infinity) return; // no fresh report so far, so nothing was lost
  const hasExpired = step.nowMs - health.lastLossAtMs > LOSS_RETENTION_MS;
  health.losses = hasExpired ? 1 : health.losses + 1;
  health.lastLossAtMs = step.nowMs;
}
