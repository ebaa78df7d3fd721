import type {RequestRecord, ServingState} from './types.js';
import {targetLoad} from './target_load.js';

/** Takes a request's current attempt off the loads. */
export function endAttempt(state: ServingState, record: RequestRecord): void {
  const {attempt} = record;
  if (!attempt) return;
  const load = targetLoad(state, attempt.vmId);
  load.inFlight -= 1;
  if (!attempt.hasStarted) load.unreadTokens -= attempt.promptTokens;
  state.byAttempt.delete(attempt.attemptId);
  record.attempt = undefined;
}
