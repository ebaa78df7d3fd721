export {TARGET_TIMING} from './target_timing.js';
export {createTargetsState} from './create_targets_state.js';
export {isFresh} from './is_fresh.js';
export {isLost} from './is_lost.js';
export {matchesEntry} from './matches_entry.js';
export {reduceTargets} from './reduce_targets.js';
export {syncModelTargets} from './sync_model_targets.js';
export type * from './types.js';
