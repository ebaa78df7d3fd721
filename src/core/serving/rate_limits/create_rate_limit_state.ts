import type {RateLimitState} from './types.js';

/** Creates the state of a node that knows no limits and has sent nothing. */
export function createRateLimitState(): RateLimitState {
  return {
    limits: new Map(),
    ownSends: new Map(),
    peerSends: new Map(),
    decisions: new Map(),
  };
}
