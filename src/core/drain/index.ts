export {createDrainState} from './create_drain_state.js';
export {reduceDrain} from './reduce_drain.js';
export {startDrain} from './start_drain.js';
export type * from './types.js';
