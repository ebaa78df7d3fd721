import type {Step} from '../state/types.js';
import {cancelAttempt} from './cancel_attempt.js';
import {requeueRequest, selectPauses} from '../admission/index.js';

/**
 * Pauses long streams while short requests wait: cancels their attempts and
 * requeues them. Returns whether any was paused.
 */
export function pauseRequests(step: Step): boolean {
  const records = selectPauses(step);
  for (const record of records) {
    cancelAttempt(step, record);
    record.phase = 'queued';
    record.pauseCount += 1;
    record.requeuedAtMs = step.nowMs;
    requeueRequest(step, record);
  }
  return records.length > 0;
}
