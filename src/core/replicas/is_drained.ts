import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {entrySince} from './entry_since.js';
import {hasFreshReport, isVmLost} from '../targets/index.js';

/** Whether a draining replica's engines may be released: none runs a request, or the drain timed out. */
export function isDrained(
  step: Step,
  stewardship: Stewardship,
  entry: ReplicaEntry,
): boolean {
  const {targets} = step.state;
  const drainingMs = step.nowMs - entrySince(step, stewardship, entry);
  if (drainingMs < STEWARD_TIMING.drainNoticeMs) return false;
  if (drainingMs >= STEWARD_TIMING.drainMaxMs) return true;
  const {leader, replicaId, vms} = entry;
  if (vms.some(vmId => isVmLost(targets, vmId, step.nowMs))) return true;
  if (!hasFreshReport(targets, leader, step.nowMs)) return false;
  const {report} = targets.reports.get(leader)!;
  if (report.assignment?.replicaId !== replicaId) return true;
  return report.running === 0 && report.queued === 0;
}
