import type {ServingState} from './types.js';

/**
 * Time after SIGTERM in which a node still takes requests: callers keep the
 * answer of a resolve for two seconds.
 */
const LINGER_MS = 3000;

/** Whether the node has ended taking requests. */
export function isLeavingForGood(state: ServingState, nowMs: number): boolean {
  const since = state.leavingSinceMs;
  return since !== undefined && nowMs - since >= LINGER_MS;
}
