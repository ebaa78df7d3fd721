export {TARGET_TIMING} from './target_timing.js';
export {createTargetsState} from './create_targets_state.js';
export {hasFreshReport} from './has_fresh_report.js';
export {isVmLost} from './is_vm_lost.js';
export {matchesReplicaEntry} from './matches_replica_entry.js';
export {reduceTargets} from './reduce_targets.js';
export {syncModelTargets} from './sync_model_targets.js';
export type * from './types.js';
