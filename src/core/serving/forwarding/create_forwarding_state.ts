import type {ForwardingState} from './types.js';

/** Creates the state of a node that has forwarded nothing yet. */
export function createForwardingState(): ForwardingState {
  return {
    byAttempt: new Map(),
    inFlight: new Map(),
    avoidedUntilMs: new Map(),
  };
}
