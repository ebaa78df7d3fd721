export {SERVING_BOUNDS} from './serving_bounds.js';
export {SERVING_MODELS} from './serving_models.js';
export type {ServingEngine} from './serving_engine.js';
export {ServingWorld} from './serving_world.js';
export {createServingConfig} from './create_serving_config.js';
export {measureServing} from './measure_serving.js';
export {sendLoad} from './send_load.js';
export type * from './types.js';
