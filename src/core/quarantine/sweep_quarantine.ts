import type {Step} from '../state/types.js';
import {QUARANTINE_TIMING} from './quarantine_timing.js';
import {clearSuspect} from './clear_suspect.js';
import {confirmLoss} from './confirm_loss.js';
import {settleLoss} from './settle_loss.js';

/** Confirms losses that no report disproved in time; drops expired losses, suspects and trials. */
export function sweepQuarantine(step: Step): void {
  const {losses, suspects, trials} = step.state.quarantine;
  const {confirmMs, suspectMs} = QUARANTINE_TIMING;
  for (const [key, loss] of losses) {
    const ageMs = step.nowMs - loss.atMs;
    const isUndecided = loss.isDecidedByReports && !loss.isConfirmed;
    if (isUndecided && ageMs >= confirmMs) confirmLoss(step, loss);
    if (ageMs < suspectMs) continue;
    settleLoss(step, loss);
    losses.delete(key);
  }
  for (const [fingerprint, {untilMs}] of suspects) {
    if (untilMs <= step.nowMs) clearSuspect(step, fingerprint);
  }
  for (const [targetId, {untilMs}] of trials) {
    if (untilMs <= step.nowMs) trials.delete(targetId);
  }
}
