export {checkLimits} from './check_limits.js';
export {createLimitsState} from './create_limits_state.js';
export {noteRequestOver} from './note_request_over.js';
export {takeRetry} from './take_retry.js';
export type * from './types.js';
