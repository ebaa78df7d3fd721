export {createConfigState} from './create_config_state.js';
export {reduceConfig} from './reduce_config.js';
export type * from './types.js';
