import type {NodeState} from '../state/types.js';

const FAILURES_UNTIL_DOWN = 2;

/** Whether recent store calls were answered. While they are not, unrepeatable requests are refused at once. */
export function isStoreUp(state: NodeState, _nowMs: number): boolean {
  return state.membership.store.failures < FAILURES_UNTIL_DOWN;
}
