import type {EngineAssignment} from './engine_assignment.js';
import type {ReplicaEntry} from '../replicas/types.js';

/**
 * Whether an engine's assignment is the one in the replica document. Adapters
 * and slots are not compared, since they change without a new generation.
 */
export function matchesReplicaEntry(
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
