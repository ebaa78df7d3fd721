import type {ReplicaEntry} from './replica_entry.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import type {VmId} from '../ids/index.js';
import {countLoads} from './count_loads.js';
import {entrySince} from './entry_since.js';
import {isDrained} from './is_drained.js';
import {hasFreshReport, matchesReplicaEntry} from '../targets/index.js';
import {isReleased} from './is_released.js';

/** Returns the entry advanced by the reports of its engines; undefined once all its VMs are released. */
export function advanceEntry(
  step: Step,
  stewardship: Stewardship,
  entry: ReplicaEntry,
): ReplicaEntry | undefined {
  const sinceMs = entrySince(step, stewardship, entry);
  switch (entry.state) {
    case 'planned': {
      const granted = stewardship.grants.get(entry.replicaId) ?? 0;
      if (granted < countLoads(step.state, entry)) return entry;
      return {...entry, state: 'loading'};
    }
    case 'loading': {
      const isReady = (vmId: VmId) => isServingEntry(step, vmId, entry);
      return entry.vms.every(isReady) ? {...entry, state: 'serving'} : entry;
    }
    case 'serving': {
      const hasLost = (vmId: VmId) =>
        hasLostAssignment(step, vmId, entry, sinceMs);
      if (!entry.vms.some(hasLost)) return entry;
      return {...entry, state: 'planned', generation: entry.generation + 1};
    }
    case 'draining':
      return dropReleasedVms(step, stewardship, entry);
  }
}

function isServingEntry(
  {state, nowMs}: Step,
  vmId: VmId,
  entry: ReplicaEntry,
): boolean {
  if (!hasFreshReport(state.targets, vmId, nowMs)) return false;
  const {report} = state.targets.reports.get(vmId)!;
  return (
    report.state === 'ready' && matchesReplicaEntry(report.assignment, entry)
  );
}

/** Whether the engine lost its assignment, as after a restart. */
function hasLostAssignment(
  {state, nowMs}: Step,
  vmId: VmId,
  entry: ReplicaEntry,
  sinceMs: number,
): boolean {
  if (!hasFreshReport(state.targets, vmId, nowMs)) return false;
  const {report, reportedAtMs} = state.targets.reports.get(vmId)!;
  return (
    reportedAtMs > sinceMs && !matchesReplicaEntry(report.assignment, entry)
  );
}

function dropReleasedVms(
  step: Step,
  stewardship: Stewardship,
  entry: ReplicaEntry,
): ReplicaEntry | undefined {
  if (!isDrained(step, stewardship, entry)) return entry;
  const vms = entry.vms.filter(
    vmId => !isReleased(step, stewardship, entry, vmId),
  );
  if (vms.length === 0) return undefined;
  return vms.length === entry.vms.length ? entry : {...entry, vms};
}
