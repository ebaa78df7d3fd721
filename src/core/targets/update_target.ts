import type {Step} from '../state/types.js';
import type {Target} from './target.js';
import type {TargetId} from '../ids/index.js';
import {countMetric, logEvent} from '../state/index.js';
import {findReplicaEntry} from './find_replica_entry.js';
import {hasFreshReport} from './has_fresh_report.js';
import {isVmLost} from './is_vm_lost.js';
import {matchesReplicaEntry} from './matches_replica_entry.js';
import {moveAttempts} from '../requests/index.js';
import {resolveBar} from './resolve_bar.js';

/** Recomputes the bar of a target, and moves the streams of a target that became broken. */
export function updateTarget(step: Step, targetId: TargetId): void {
  const {targets} = step.state;
  const target = targets.byId.get(targetId);
  if (!target) return;
  refreshBar(step, target);
  if (!isBroken(step, target)) {
    targets.broken.delete(targetId);
    return;
  }
  if (targets.broken.has(targetId)) return;
  targets.broken.add(targetId);
  moveAttempts(step, targetId, 'target-lost');
}

function refreshBar(step: Step, target: Target): void {
  const bar = resolveBar(step.state, target, step.nowMs);
  if (bar === target.bar) return;
  if (bar === undefined) delete target.bar;
  else target.bar = bar;
  target.barChangedAtMs = step.nowMs;
  const {targetId, service} = target;
  countMetric(step, 'targetBars', 1, {service, bar: bar ?? 'none'});
  logEvent(step, 'info', 'targets', 'target bar changed', {
    targetId,
    service,
    bar: bar ?? 'none',
  });
}

/** A target is broken if one of its VMs is lost, or if its fresh report contains another assignment than the replica document. */
function isBroken({state, nowMs}: Step, target: Target): boolean {
  const {targets} = state;
  if (target.vms.some(vmId => isVmLost(targets, vmId, nowMs))) return true;
  if (target.kind === 'application') return false;
  const entry = findReplicaEntry(state, target);
  return target.vms.some(vmId => {
    if (!entry || !hasFreshReport(targets, vmId, nowMs)) return false;
    const {report} = targets.reports.get(vmId)!;
    return !matchesReplicaEntry(report.assignment, entry);
  });
}
