import type {RequestRecord, ServingStep} from '../types.js';
import {cancelRun} from './cancel_run.js';
import {findRunTarget} from './find_run_target.js';
import {logDecision} from '../log_decision.js';

/**
 * Keeps a request's current run, which has fallen silent, beside the next one.
 * Another target may refuse the request or be silent too, while the silent one is
 * only delayed. Of more than two runs the middle ones have delivered nothing, and
 * are cancelled.
 */
export function keepSilentRun(step: ServingStep, record: RequestRecord): void {
  const {attempt, forward} = record;
  if (!attempt && !forward) return;
  if (record.silentRun) {
    logDecision(step, 'info', 'requests', 'silent run given up', {
      requestId: record.request.requestId,
      callerId: record.request.callerId,
      target: findRunTarget({attempt, forward}),
      kept: findRunTarget(record.silentRun),
    });
    cancelRun(step, record, {attempt, forward});
    return;
  }
  record.silentRun = {attempt, forward};
  record.attempt = undefined;
  record.forward = undefined;
}
