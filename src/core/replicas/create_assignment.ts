import type {EngineAssignment} from '../targets/types.js';
import type {ReplicaEntry} from './replica_entry.js';

/** Creates the assignment that the engines of a replica are ordered to take. */
export function createAssignment(entry: ReplicaEntry): EngineAssignment {
  return {
    replicaId: entry.replicaId,
    generation: entry.generation,
    fencingToken: entry.fencingToken,
    service: entry.service,
    model: entry.model,
    version: entry.version,
    adapters: entry.adapters,
    role: 'unified',
    vms: entry.vms,
    leader: entry.leader,
    slots: entry.slots,
  };
}
