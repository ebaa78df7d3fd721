import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {closeAttempt} from './close_attempt.js';
import {worseVerdict} from '../verdict/index.js';

/** Ends a running attempt from this side; whether it ran is not known. */
export function cancelAttempt(step: Step, record: RequestRecord): void {
  const {attempt} = record;
  if (!attempt) return;
  closeAttempt(step, record, {kind: 'cancelled', tokens: attempt.tokens});
  record.verdict = worseVerdict(record.verdict, 'may-have-run');
  record.deliveredTokens += attempt.tokens;
  step.effects.push({type: 'cancelAttempt', attemptId: attempt.attemptId});
}
