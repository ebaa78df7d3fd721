import type {Step} from '../state/types.js';
import type {TargetId, VmId} from '../ids/index.js';
import type {TargetLoss} from './target_loss.js';
import {targetBoot} from './target_boot.js';

/** Returns the loss of one boot of a target; records it as likely, not confirmed, when it is new. */
export function findLoss(
  step: Step,
  targetId: TargetId,
  bootId: string,
): TargetLoss {
  const {lossesByAwaitedVm, losses} = step.state.quarantine;
  const key = `${targetId}#${bootId}`;
  const known = losses.get(key);
  if (known) return known;
  const isCurrent = bootId !== '' && bootId === targetBoot(step, targetId);
  const awaitedBoots: Map<VmId, string> = isCurrent
    ? lastReportedBoots(step, targetId)
    : new Map();
  const loss: TargetLoss = {
    targetId,
    bootId,
    atMs: step.nowMs,
    isConfirmed: false,
    isDecidedByReports: awaitedBoots.size > 0,
    awaitedBootIds: awaitedBoots,
    fingerprints: new Set(),
  };
  losses.set(key, loss);
  for (const vmId of loss.awaitedBootIds.keys()) {
    const others = lossesByAwaitedVm.get(vmId) ?? new Set();
    lossesByAwaitedVm.set(vmId, others.add(loss));
  }
  return loss;
}

function lastReportedBoots(step: Step, targetId: TargetId): Map<VmId, string> {
  const {byId, reports} = step.state.targets;
  const boots = new Map<VmId, string>();
  for (const vmId of byId.get(targetId)?.vms ?? []) {
    boots.set(vmId, reports.get(vmId)?.report.bootId ?? '');
  }
  return boots;
}
