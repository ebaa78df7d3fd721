import type {NodeState} from '../state/types.js';
import {isStoreUp} from './is_store_up.js';

/**
 * Whether reads that can wait may go to the store. While it is down, the
 * lease's calls alone ask for it; when it returns, nodes spread their reads.
 */
export function mayReadStore(state: NodeState, nowMs: number): boolean {
  if (!isStoreUp(state, nowMs)) return false;
  return nowMs >= state.membership.store.resumeAtMs;
}
