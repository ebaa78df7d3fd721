import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import type {VmId} from '../ids/index.js';
import {entrySince} from './entry_since.js';
import {hasFreshReport, isVmLost} from '../targets/index.js';

/** Whether a VM of a draining replica may be reused: its engine reports the release, or it left the VM list. */
export function isReleased(
  step: Step,
  stewardship: Stewardship,
  entry: ReplicaEntry,
  vmId: VmId,
): boolean {
  const {targets} = step.state;
  if (stewardship.orders.has(vmId)) return false;
  if (isVmLost(targets, vmId, step.nowMs)) return !targets.vms.has(vmId);
  if (!hasFreshReport(targets, vmId, step.nowMs)) return false;
  const {report, reportedAtMs} = targets.reports.get(vmId)!;
  if (reportedAtMs <= entrySince(step, stewardship, entry)) return false;
  return report.assignment?.replicaId !== entry.replicaId;
}
