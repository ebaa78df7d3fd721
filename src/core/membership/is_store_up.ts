import type {NodeState} from '../state/types.js';

const FAILURES_UNTIL_DOWN = 2;

/** Whether the store answered lately. Unrepeatable work is refused at once while it does not. */
export function isStoreUp(state: NodeState, _nowMs: number): boolean {
  return state.membership.store.failures < FAILURES_UNTIL_DOWN;
}
