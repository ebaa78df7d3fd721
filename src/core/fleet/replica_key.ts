import type {ReplicaId} from '../ids/index.js';

/** Key of one life of a replica: a name may come back under another epoch. */
export function replicaKey(replicaId: ReplicaId, epoch: number): string {
  return `${replicaId}#${epoch}`;
}
