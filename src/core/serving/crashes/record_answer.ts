import type {AttemptRecord, RequestRecord, ServingStep} from '../types.js';
import {addSurvival} from './add_survival.js';
import {recordSurvival} from './record_survival.js';

/** Records that a target has answered a request: neither its prompt nor its content crashed the target. */
export function recordAnswer(
  step: ServingStep,
  record: RequestRecord,
  attempt: AttemptRecord,
): void {
  recordSurvival(step, record, attempt);
  const atMs = attempt.startedAtMs ?? attempt.sentAtMs;
  const {fingerprint} = record.request;
  addSurvival(step.state.crashes, fingerprint, atMs, step.nowMs);
}
