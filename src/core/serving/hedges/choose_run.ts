import type {AttemptId} from '../../ids/index.js';
import type {RequestRecord, ServingStep} from '../types.js';
import {cancelRun} from './cancel_run.js';
import {findRunTarget} from './find_run_target.js';
import {logDecision} from '../log_decision.js';

/** Ends the choice between a silent run and the one beside it: the first to deliver an event goes on, and the other is cancelled. */
export function chooseRun(
  step: ServingStep,
  record: RequestRecord,
  attemptId: AttemptId,
): void {
  const {silentRun, attempt, forward, request} = record;
  if (!silentRun) return;
  const current = {attempt, forward};
  const isCurrent = (attempt ?? forward)?.attemptId === attemptId;
  const message = isCurrent
    ? 'request moved from a silent run'
    : 'silent run went on';
  logDecision(step, 'info', 'requests', message, {
    requestId: request.requestId,
    callerId: request.callerId,
    from: findRunTarget(isCurrent ? silentRun : current),
    to: findRunTarget(isCurrent ? current : silentRun),
  });
  cancelRun(step, record, isCurrent ? silentRun : current);
  if (isCurrent) return;
  record.attempt = silentRun.attempt;
  record.forward = silentRun.forward;
  record.silentRun = undefined;
}
