import type {RequestInfo} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {TargetId} from '../ids/index.js';
import {addLoss} from './add_loss.js';
import {confirmLoss} from './confirm_loss.js';
import {findLoss} from './find_loss.js';
import {targetBoot} from './target_boot.js';

/** Confirms the loss of a crashed target, and makes the requests in flight on it suspects. */
export function noteTargetLost(
  step: Step,
  targetId: TargetId,
  inFlight: readonly RequestInfo[],
): void {
  const {outbox} = step.state.quarantine;
  const loss = findLoss(step, targetId, targetBoot(step, targetId));
  for (const {fingerprint} of inFlight) {
    if (addLoss(step, fingerprint, loss)) outbox.suspects.add(fingerprint);
  }
  confirmLoss(step, loss);
}
