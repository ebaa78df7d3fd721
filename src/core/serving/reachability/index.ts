export {createReachabilityState} from './create_reachability_state.js';
export {recordReached} from './record_reached.js';
export {recordUnreachable} from './record_unreachable.js';
