import type {LimitsState} from './limits_state.js';

/** Creates unused limits. */
export function createLimitsState(): LimitsState {
  return {
    inFlight: new Map(),
    rates: new Map(),
    retries: new Map(),
    nodeCount: 1,
    nodesCountedAtMs: -Infinity,
  };
}
