export {createRoutingState} from './create_routing_state.js';
export {hasSlotOfOwn} from './has_slot_of_own.js';
export {noteAttemptOver} from './note_attempt_over.js';
export {noteDispatched} from './note_dispatched.js';
export {noteFirstToken} from './note_first_token.js';
export {ownInFlight} from './own_in_flight.js';
export {reduceRouting} from './reduce_routing.js';
export {selectTarget} from './select_target.js';
export type * from './types.js';
