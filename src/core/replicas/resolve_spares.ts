import type {DomainId, VmId} from '../ids/index.js';
import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import {isFreeVm} from './is_free_vm.js';
import {isVmLost} from '../targets/index.js';

/** Finds the domain's VMs usable for a new replica. A spare VM remains one through a short silence. */
export function resolveSpares(
  step: Step,
  domain: DomainId,
  replicas: readonly ReplicaEntry[],
  before: readonly VmId[],
): VmId[] {
  const {targets} = step.state;
  const taken = new Set(replicas.flatMap(entry => entry.vms));
  const spares: VmId[] = [];
  for (const [vmId, record] of targets.vms) {
    if (record.domain !== domain || taken.has(vmId)) continue;
    const isFree = isFreeVm(step.state, vmId, step.nowMs);
    if (isFree || (before.includes(vmId) && isStillUsable(step, vmId))) {
      spares.push(vmId);
    }
  }
  return spares.sort();
}

function isStillUsable({state, nowMs}: Step, vmId: VmId): boolean {
  const {targets} = state;
  const report = targets.reports.get(vmId)?.report;
  return (
    targets.vms.get(vmId)?.state === 'live' &&
    !isVmLost(targets, vmId, nowMs) &&
    report?.state === 'idle' &&
    !report.assignment
  );
}
