export type {RoutingState} from './routing_state.js';
export type {AttemptResult} from './attempt_result.js';
