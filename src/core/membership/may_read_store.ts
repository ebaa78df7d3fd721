import type {NodeState} from '../state/types.js';
import {isStoreUp} from './is_store_up.js';

/**
 * Whether reads that can wait may be sent to the store. While it is down, only
 * the calls for the lease probe it; once it answers again, the nodes spread
 * their reads over time.
 */
export function mayReadStore(state: NodeState, nowMs: number): boolean {
  if (!isStoreUp(state, nowMs)) return false;
  return nowMs >= state.membership.store.resumeAtMs;
}
