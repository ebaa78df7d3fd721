import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {countMetric} from '../state/index.js';
import {noteFirstToken} from '../routing/index.js';

/** Records the first token and the token count of a running attempt. */
export function progressAttempt(
  step: Step,
  event: EventOf<'attemptFirstToken'> | EventOf<'attemptProgress'>,
): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  const attempt = record?.attempt;
  if (!attempt) return;
  if (event.type === 'attemptProgress') {
    attempt.tokens = event.tokens;
    return;
  }
  attempt.firstTokenAtMs = step.nowMs;
  attempt.tokens = Math.max(1, attempt.tokens);
  noteFirstToken(step, record);
  if (record.deliveredTokens > 0) return;
  const {arrivedAtMs, service} = record.info;
  countMetric(step, 'firstTokenMs', step.nowMs - arrivedAtMs, {service});
}
