import type {ReplicaId} from '../ids/index.js';

/** Key of a replica at an epoch: an id may be used again under another epoch. */
export function replicaKey(replicaId: ReplicaId, epoch: number): string {
  return `${replicaId}#${epoch}`;
}
