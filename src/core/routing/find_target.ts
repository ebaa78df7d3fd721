import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetId, VmId} from '../ids/index.js';
import {makeId} from '../ids/index.js';

/**
 * Finds the target that a VM's message refers to: the replica that the VM leads,
 * or the VM alone. Undefined for a VM that leads no target.
 */
export function findTarget(
  step: Step,
  {vmId}: {readonly vmId: VmId},
): Target | undefined {
  const {targets} = step.state;
  const targetId = targets.targetByVm.get(vmId) ?? makeId<TargetId>(vmId);
  const leader = targets.leaders.get(targetId) ?? vmId;
  return leader === vmId ? targets.byId.get(targetId) : undefined;
}
