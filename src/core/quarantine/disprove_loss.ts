import type {Step} from '../state/types.js';
import type {TargetLoss} from './target_loss.js';
import {clearSuspect} from './clear_suspect.js';
import {settleLoss} from './settle_loss.js';

/**
 * Discards a loss, since only a connection broke and the target is alive;
 * clears suspects without another loss.
 */
export function disproveLoss(step: Step, loss: TargetLoss): void {
  const {losses, outbox, suspects} = step.state.quarantine;
  const key = `${loss.targetId}#${loss.bootId}`;
  settleLoss(step, loss);
  losses.delete(key);
  for (const fingerprint of loss.fingerprints) {
    const suspect = suspects.get(fingerprint);
    suspect?.losses.delete(key);
    if (suspect?.losses.size !== 0) continue;
    clearSuspect(step, fingerprint);
    outbox.cleared.add(fingerprint);
  }
}
