import type {ServingState} from './types.js';

/**
 * Time after SIGTERM in which a node still accepts requests: callers cache the
 * resolved addresses for two seconds.
 */
const ACCEPT_AFTER_SIGTERM_MS = 3000;

/** Whether a node that is shutting down no longer accepts requests. */
export function hasStoppedAccepting(
  state: ServingState,
  nowMs: number,
): boolean {
  const sinceMs = state.leavingSinceMs;
  return sinceMs !== undefined && nowMs - sinceMs >= ACCEPT_AFTER_SIGTERM_MS;
}
