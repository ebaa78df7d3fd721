import type {LimitsState} from './limits_state.js';

/** Creates the limits state of a node that has admitted no request. */
export function createLimitsState(): LimitsState {
  return {
    inFlight: new Map(),
    rates: new Map(),
    retries: new Map(),
    nodeCount: 1,
    nodesCountedAtMs: -Infinity,
  };
}
