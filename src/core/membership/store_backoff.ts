import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Delay in milliseconds before a failed call is retried: exponential, with jitter to spread the nodes. */
export function storeBackoffMs(state: NodeState): number {
  const {minBackoffMs, maxBackoffMs} = MEMBERSHIP_TIMING;
  const doubled =
    minBackoffMs * 2 ** Math.min(10, state.membership.store.failures);
  const limit = Math.min(maxBackoffMs, doubled);
  return minBackoffMs + state.random.next() * limit;
}
