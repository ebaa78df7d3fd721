import type {ReplicasState} from './replicas_state.js';

/** Creates a view without documents. */
export function createReplicasState(): ReplicasState {
  return {documents: new Map()};
}
