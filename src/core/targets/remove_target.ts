import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {moveAttempts} from '../requests/index.js';

/** Removes a target and moves its attempts to other targets. */
export function removeTarget(step: Step, targetId: TargetId): void {
  const {targets} = step.state;
  const target = targets.byId.get(targetId);
  if (!target) return;
  moveAttempts(step, targetId, 'target-barred');
  targets.byId.delete(targetId);
  targets.byService.get(target.service)?.delete(targetId);
  targets.leaders.delete(targetId);
  targets.leavingAnnouncedAtMs.delete(targetId);
  targets.broken.delete(targetId);
  for (const vmId of target.vms) {
    if (targets.targetByVm.get(vmId) === targetId) {
      targets.targetByVm.delete(vmId);
    }
  }
}
