import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Delay before a failed call is made again: doubling, and drawn at random so that nodes spread out. */
export function storeBackoffMs(state: NodeState): number {
  const {minBackoffMs, maxBackoffMs} = MEMBERSHIP_TIMING;
  const doubled =
    minBackoffMs * 2 ** Math.min(10, state.membership.store.failures);
  const limit = Math.min(maxBackoffMs, doubled);
  return minBackoffMs + state.random.next() * limit;
}
