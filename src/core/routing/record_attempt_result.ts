import type {AttemptResult} from './attempt_result.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {updateSpeed} from './update_speed.js';
import {loadOf} from './load_of.js';
import {markReady, noteLongRunning} from '../admission/index.js';
import {noteFailure} from './note_failure.js';
import {refreshTarget} from './refresh_target.js';

/** Minimum tokens of an attempt for its speed to be measured. */
const MIN_SPEED_TOKENS = 8;

/** Releases the slot of the record's attempt, and updates the target's failures and speed from the result. */
export function recordAttemptResult(
  step: Step,
  record: RequestRecord,
  result: AttemptResult,
): void {
  const {attempt} = record;
  if (!attempt) return;
  noteLongRunning(step, record, false);
  const load = loadOf(step, attempt.targetId);
  load.own.delete(attempt.attemptId);
  const {startedAtMs, firstTokenAtMs} = attempt;
  load.ended.push({startedAtMs, endedAtMs: step.nowMs});
  if (result.kind === 'ended') {
    load.failures = 0;
    load.ejections = 0;
    if (firstTokenAtMs !== undefined && result.tokens >= MIN_SPEED_TOKENS) {
      const elapsedMs = step.nowMs - firstTokenAtMs;
      updateSpeed(step, attempt.targetId, elapsedMs / result.tokens);
    }
  }
  if (result.kind === 'failed') noteFailure(step, attempt.targetId);
  refreshTarget(step, attempt.targetId);
  markReady(step, record.info.service);
}
