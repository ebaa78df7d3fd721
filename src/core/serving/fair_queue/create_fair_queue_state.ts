import type {FairQueueState} from './types.js';

/** Creates the state of a node that has seen no requests yet. */
export function createFairQueueState(): FairQueueState {
  return {pools: new Map(), sentRows: new Map(), expiredAtMs: -Infinity};
}
