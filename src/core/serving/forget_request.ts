import type {RequestRecord, ServingStep} from './types.js';
import {endAttempt} from './end_attempt.js';

/** Removes a request that has its final answer, and cancels what still runs for it. */
export function forgetRequest(step: ServingStep, record: RequestRecord): void {
  const {state} = step;
  if (record.attempt) {
    const {attemptId} = record.attempt;
    step.effects.push({type: 'cancelAttempt', attemptId});
    endAttempt(state, record);
  }
  const waiting = state.waiting.get(record.pool);
  const at = waiting?.indexOf(record) ?? -1;
  if (at >= 0) waiting!.splice(at, 1);
  state.requests.delete(record.request.requestId);
}
