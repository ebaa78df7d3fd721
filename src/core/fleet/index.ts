export {buildReplicas} from './build_replicas.js';
export {isAddress} from './is_address.js';
export {isEngineChange} from './is_engine_change.js';
export {replicaKey} from './replica_key.js';
export type * from './types.js';
