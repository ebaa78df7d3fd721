import type {LimitsState} from './limits_state.js';

/** Creates unused limits. */
export function createLimitsState(): LimitsState {
  return {inFlight: new Map()};
}
