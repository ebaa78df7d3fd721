import type {RoutingState} from './routing_state.js';
import {PrefixIndex} from './prefix_index.js';
import {TwoChoicesPolicy} from './two_choices_policy.js';

/** Creates a routing state without pools and attempts in flight. */
export function createRoutingState(): RoutingState {
  return {
    policy: new TwoChoicesPolicy(),
    loads: new Map(),
    pools: new Map(),
    prefixes: new PrefixIndex(),
  };
}
