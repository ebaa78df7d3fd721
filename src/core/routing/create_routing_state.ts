import type {RoutingState} from './routing_state.js';

/** Creates a view with no work in flight. */
export function createRoutingState(): RoutingState {
  return {inFlight: new Map()};
}
