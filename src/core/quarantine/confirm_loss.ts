import type {Step} from '../state/types.js';
import type {TargetLoss} from './target_loss.js';
import {evaluateSuspect} from './evaluate_suspect.js';
import {settleLoss} from './settle_loss.js';

/** Marks a loss as confirmed and re-evaluates its suspects. */
export function confirmLoss(step: Step, loss: TargetLoss): void {
  if (loss.isConfirmed) return;
  loss.isConfirmed = true;
  settleLoss(step, loss);
  const {outbox, suspects} = step.state.quarantine;
  for (const fingerprint of loss.fingerprints) {
    const suspect = suspects.get(fingerprint);
    if (!suspect) continue;
    outbox.suspects.add(fingerprint);
    evaluateSuspect(step, suspect);
  }
}
