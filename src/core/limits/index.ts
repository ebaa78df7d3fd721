export {checkLimits} from './check_limits.js';
export {createLimitsState} from './create_limits_state.js';
export {releaseInFlight} from './release_in_flight.js';
export {takeRetry} from './take_retry.js';
export type * from './types.js';
