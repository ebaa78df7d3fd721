import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {closeAttempt} from './close_attempt.js';
import {worseVerdict} from '../verdict/index.js';

/**
 * Cancels a running attempt; since the target may have executed it, the verdict
 * is at least `may-have-run`.
 */
export function cancelAttempt(step: Step, record: RequestRecord): void {
  const {attempt} = record;
  if (!attempt) return;
  closeAttempt(step, record, {kind: 'cancelled', tokens: attempt.tokens});
  record.verdict = worseVerdict(record.verdict, 'may-have-run');
  record.deliveredTokens += attempt.tokens;
  step.effects.push({type: 'cancelAttempt', attemptId: attempt.attemptId});
}
