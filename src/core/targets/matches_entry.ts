import type {EngineAssignment} from './engine_assignment.js';
import type {ReplicaEntry} from '../replicas/types.js';

/**
 * Whether an engine is in the replica as the document states it. Adapters and
 * slots are left out: they change in place.
 */
export function matchesEntry(
  assignment: EngineAssignment | undefined,
  entry: ReplicaEntry,
): boolean {
  if (!assignment) return false;
  return (
    assignment.replicaId === entry.replicaId &&
    assignment.generation === entry.generation &&
    assignment.fencingToken === entry.fencingToken &&
    assignment.leader === entry.leader &&
    assignment.model === entry.model &&
    assignment.version === entry.version &&
    assignment.vms.length === entry.vms.length &&
    assignment.vms.every((vmId, index) => vmId === entry.vms[index])
  );
}
