import type {ReplicaEntry} from './replica_entry.js';
import type {TargetsState} from '../targets/types.js';
import type {VmId} from '../ids/index.js';

/** Whether a VM's engine has loaded the replica's weights, possibly for an earlier generation. */
export function hasWeights(
  targets: TargetsState,
  vmId: VmId,
  entry: ReplicaEntry,
): boolean {
  const report = targets.reports.get(vmId)?.report;
  const assignment = report?.assignment;
  return (
    report?.state === 'ready' &&
    assignment?.replicaId === entry.replicaId &&
    assignment.model === entry.model &&
    assignment.version === entry.version
  );
}
