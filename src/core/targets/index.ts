export {createTargetsState} from './create_targets_state.js';
export {reduceTargets} from './reduce_targets.js';
export type * from './types.js';
