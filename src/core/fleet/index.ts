export {buildReplicas} from './build_replicas.js';
export {replicaKey} from './replica_key.js';
export type * from './types.js';
