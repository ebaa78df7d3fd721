export type {AttemptResult} from './attempt_result.js';
export type {DispatchPolicy} from './dispatch_policy.js';
export type {RoutingState} from './routing_state.js';
