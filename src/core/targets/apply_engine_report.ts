import type {EngineReport} from './engine_report.js';
import type {Step} from '../state/types.js';
import type {Target} from './target.js';
import type {TargetId, VmId} from '../ids/index.js';
import {TARGET_TIMING} from './target_timing.js';
import {hasFreshReport} from './has_fresh_report.js';
import {updateTarget} from './update_target.js';

/** Applies a report that was made `ageMs` ago, unless a newer one is known. */
export function applyEngineReport(
  step: Step,
  report: EngineReport,
  ageMs: number,
): void {
  const {targets} = step.state;
  const {vmId} = report;
  const reportedAtMs = step.nowMs - Math.max(0, ageMs);
  const last = targets.reports.get(vmId);
  if (last && isOlder(report, reportedAtMs, last)) return;
  targets.reports.set(vmId, {report, reportedAtMs});
  endSilence(step, vmId);
  const targetId = targets.targetByVm.get(vmId);
  if (targetId === undefined) return;
  if (targets.leaders.get(targetId) === vmId) {
    updateLoad(targets.byId.get(targetId)!, report, reportedAtMs);
  }
  updateSlotsAndAdapters(step, targetId);
  updateTarget(step, targetId);
}

/** Copies slots and adapters, which change in place, to the target. An adapter is available once all members have loaded it. */
function updateSlotsAndAdapters({state}: Step, targetId: TargetId): void {
  const {byId, leaders, reports} = state.targets;
  const target = byId.get(targetId)!;
  const assignmentOf = (vmId: VmId) => reports.get(vmId)?.report.assignment;
  const leaderAssignment = assignmentOf(leaders.get(targetId)!);
  if (!leaderAssignment || leaderAssignment.replicaId !== target.replicaId)
    return;
  const adapters = leaderAssignment.adapters.filter(adapter =>
    target.vms.every(vmId => assignmentOf(vmId)?.adapters.includes(adapter)),
  );
  const {slots} = leaderAssignment;
  if (slots === target.slots && adapters.join() === target.adapters.join()) {
    return;
  }
  byId.set(targetId, {...target, adapters, slots});
}

function isOlder(
  report: EngineReport,
  reportedAtMs: number,
  last: {readonly report: EngineReport; readonly reportedAtMs: number},
): boolean {
  if (last.report.bootId === report.bootId) {
    return report.sequence <= last.report.sequence;
  }
  return reportedAtMs <= last.reportedAtMs;
}

/** Records that a VM has a fresh report again; after a long silence, requires its replica document to be read again. */
function endSilence(step: Step, vmId: VmId): void {
  const {targets} = step.state;
  const health = targets.health.get(vmId);
  if (!health || !hasFreshReport(targets, vmId, step.nowMs)) return;
  if (health.staleSinceMs === undefined) return;
  const silenceMs = step.nowMs - health.staleSinceMs;
  const isFirstReport = health.freshSinceMs === -Infinity;
  if (!isFirstReport && silenceMs >= TARGET_TIMING.rereadAfterSilenceMs) {
    health.minDocumentReadAtMs = step.nowMs;
    targets.minDocumentReadAtMs = step.nowMs;
  }
  health.freshSinceMs = step.nowMs;
  health.isLost = false;
  delete health.staleSinceMs;
}

function updateLoad(
  target: Target,
  report: EngineReport,
  reportedAtMs: number,
): void {
  target.running = report.running;
  target.queued = report.queued;
  target.tokensPerSecond = report.tokensPerSecond;
  target.reportedAtMs = reportedAtMs;
}
