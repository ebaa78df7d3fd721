import type {RateLimitState} from './types.js';

/** Creates the state of a node that knows no limits. */
export function createRateLimitState(): RateLimitState {
  return {limits: new Map()};
}
