export {createFleetSizeState} from './create_fleet_size_state.js';
export {recordFleetSize} from './record_fleet_size.js';
export {resolveFleetSize} from './resolve_fleet_size.js';
export type * from './types.js';
