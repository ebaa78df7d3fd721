export {createReplicasState} from './create_replicas_state.js';
export {reduceReplicas} from './reduce_replicas.js';
export type * from './types.js';
