import type {AttemptResult} from '../routing/types.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import {noteSuspectRun} from '../quarantine/index.js';
import {recordAttemptResult} from '../routing/index.js';

/** Closes a request's current attempt and releases its slot; later events of the attempt are ignored. */
export function closeAttempt(
  step: Step,
  record: RequestRecord,
  result: AttemptResult,
): void {
  const {attempt} = record;
  if (!attempt) return;
  recordAttemptResult(step, record, result);
  noteSuspectRun(step, record.info, -1);
  const {byAttempt, byTarget} = step.state.requests;
  byAttempt.delete(attempt.attemptId);
  const others = byTarget.get(attempt.targetId);
  if (others?.delete(record) && others.size === 0) {
    byTarget.delete(attempt.targetId);
  }
  delete record.attempt;
}
