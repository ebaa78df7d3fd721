import type {AttemptFailure} from './attempt_failure.js';
import type {RequestRecord} from './request_record.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {cancelAttempt} from './cancel_attempt.js';
import {giveUpRequest} from './give_up_request.js';
import {noteTargetLost} from '../quarantine/index.js';
import {requeueRequest} from '../admission/index.js';

/**
 * `target-lost`: the target crashed, and requests in flight on it become suspects;
 * `target-barred`: the target may no longer serve.
 */
type MoveCause = 'target-lost' | 'target-barred';

/**
 * Moves every request off a target: each is resumed or restarted on another
 * target, or refused with an explicit error.
 */
export function moveAttempts(
  step: Step,
  targetId: TargetId,
  cause: MoveCause,
): void {
  const records = [...(step.state.requests.byTarget.get(targetId) ?? [])];
  if (cause === 'target-lost') {
    const infos = records.map(record => record.info);
    noteTargetLost(step, targetId, infos);
  }
  for (const record of records) {
    moveAttempt(step, record);
  }
}

function moveAttempt(step: Step, record: RequestRecord): void {
  if (!record.attempt) return; // refused by the quarantine in the meantime
  const {targetId} = record.attempt;
  cancelAttempt(step, record);
  record.failedTargets.add(targetId);
  if (!mayMove(step, record)) {
    const failure: Pick<AttemptFailure, 'cause'> = {cause: 'cancelled'};
    giveUpRequest(step, record, failure);
    return;
  }
  record.phase = 'queued';
  record.requeuedAtMs = step.nowMs;
  requeueRequest(step, record);
}

function mayMove(step: Step, record: RequestRecord): boolean {
  const {info, deliveredTokens} = record;
  if (info.unrepeatable || step.nowMs >= info.deadlineAtMs) return false;
  return deliveredTokens === 0 || (info.kind === 'model' && info.stream);
}
