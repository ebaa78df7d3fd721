import type {NodeState} from '../state/types.js';
import type {ReplicaEntry} from '../replicas/types.js';
import type {Target} from './target.js';

/** Returns the replica document's entry for a model target; undefined if it was removed, or for application targets. */
export function findReplicaEntry(
  state: NodeState,
  target: Target,
): ReplicaEntry | undefined {
  if (target.domain === undefined) return undefined;
  const document = state.replicas.documents.get(target.domain);
  return document?.replicas.find(entry => entry.replicaId === target.replicaId);
}
