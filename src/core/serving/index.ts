export {createDigest} from './create_digest.js';
export {createServingState} from './create_serving_state.js';
export {isReady} from './is_ready.js';
export {resolveEntries} from './resolve_entries.js';
export {reduceServing} from './reduce_serving.js';
export type * from './types.js';
