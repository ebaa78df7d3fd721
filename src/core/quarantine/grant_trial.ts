import type {Fingerprint, TargetId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';

/** Reserves a target for one suspect; false while it is reserved for another. */
export function grantTrial(
  step: Step,
  fingerprint: Fingerprint,
  targetId: TargetId,
): boolean {
  const {trials} = step.state.quarantine;
  const trial = trials.get(targetId);
  const isTaken = trial && trial.untilMs > step.nowMs;
  if (isTaken && trial.fingerprint !== fingerprint) return false;
  const untilMs = step.nowMs + QUARANTINE_TIMING.trialMs;
  trials.set(targetId, {fingerprint, untilMs});
  return true;
}
