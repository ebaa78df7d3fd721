import type {Step} from '../state/types.js';
import type {Target} from '../targets/types.js';
import type {TargetId, VmId} from '../ids/index.js';
import {makeId} from '../ids/index.js';

/** The target that a VM's message is about: the replica it leads, or the VM itself. */
export function findTarget(
  step: Step,
  {vmId}: {readonly vmId: VmId},
): Target | undefined {
  const {targets} = step.state;
  const replicaId = targets.reports.get(vmId)?.report.assignment?.replicaId;
  return targets.byId.get(makeId<TargetId>(replicaId ?? vmId));
}
