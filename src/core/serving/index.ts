export {findSteward} from './find_steward.js';
export {needsConfigWatch} from './needs_config_watch.js';
export {needsFleetWatch} from './needs_fleet_watch.js';
export {createDigest} from './create_digest.js';
export {createServingState} from './create_serving_state.js';
export {isReady} from './is_ready.js';
export {resolveEntries} from './resolve_entries.js';
export {reduceServing} from './reduce_serving.js';
export type * from './types.js';
