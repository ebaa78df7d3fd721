import type {RoutingState} from './routing_state.js';
import {LeastInFlightPolicy} from './least_in_flight_policy.js';

/** Creates a view with no work in flight. */
export function createRoutingState(): RoutingState {
  return {policy: new LeastInFlightPolicy(), inFlight: new Map()};
}
