import type {RetryState} from './types.js';

/** Creates the state of a node that has retried nothing. */
export function createRetryState(): RetryState {
  return {windows: new Map(), reported: new Map(), predecessors: new Map()};
}
