import type {ReplicaId, VmId} from '../ids/index.js';
import {makeId} from '../ids/index.js';

const SPARE = 'spare';
const SEPARATOR = '~';

/**
 * Creates and parses replica ids. An id contains the VM id of the head, so that
 * a later steward can distinguish a head that has left from an unresponsive one.
 */
export const replicaName = {
  ofReplica(head: VmId, epoch: number): ReplicaId {
    return makeId<ReplicaId>(`${head}${SEPARATOR}${epoch.toString(36)}`);
  },

  /** Id for a spare: the only member of a replica that is never opened, which keeps the weights in memory. */
  ofSpare(vmId: VmId, epoch: number): ReplicaId {
    const suffix = epoch.toString(36);
    return makeId<ReplicaId>([SPARE, vmId, suffix].join(SEPARATOR));
  },

  isSpare(replicaId: ReplicaId): boolean {
    return replicaId.startsWith(SPARE + SEPARATOR);
  },

  headOf(replicaId: ReplicaId): VmId {
    return makeId<VmId>(replicaId.split(SEPARATOR)[0]!);
  },
};
