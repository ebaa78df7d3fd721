import type {NodeState} from '../state/types.js';
import type {ReplicaEntry} from '../replicas/types.js';
import type {Target} from './target.js';

/** The document's entry that a model target was made from, if it still stands. */
export function findEntry(
  state: NodeState,
  target: Target,
): ReplicaEntry | undefined {
  if (target.domain === undefined) return undefined;
  const document = state.replicas.documents.get(target.domain);
  return document?.replicas.find(entry => entry.replicaId === target.replicaId);
}
