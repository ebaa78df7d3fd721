import type {ReplicaId, VmId} from '../ids/index.js';
import {makeId} from '../ids/index.js';

const SPARE = 'spare';
const SEPARATOR = '~';

/**
 * Names of replicas. A name holds its head's id, so that a later steward can
 * tell a head that has left from one that is silent.
 */
export const replicaName = {
  ofReplica(head: VmId, epoch: number): ReplicaId {
    return makeId<ReplicaId>(`${head}${SEPARATOR}${epoch.toString(36)}`);
  },

  /** A spare is alone in a replica that is never opened, which keeps the weights in its memory. */
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
