import type {AttemptRecord, RequestRecord, ServingState} from './types.js';
import {recordEnded} from './silence/index.js';
import {resolveTargetLoad} from './resolve_target_load.js';

/** Removes an attempt from its request and the load counters. */
export function endAttempt(
  state: ServingState,
  record: RequestRecord,
  attempt: AttemptRecord,
): void {
  const load = resolveTargetLoad(state, attempt.vmId);
  recordEnded(state, record.pool, attempt);
  if (attempt.startedAtMs === undefined) {
    load.unreadTokens -= attempt.promptTokens;
    load.unstartedCount -= 1;
  }
  state.requestsByAttempt.delete(attempt.attemptId);
  if (record.attempt === attempt) record.attempt = undefined;
  else record.silentRun = undefined;
}
