import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {addLoss} from './add_loss.js';
import {confirmLoss} from './confirm_loss.js';
import {findLoss} from './find_loss.js';
import {targetBoot} from './target_boot.js';

/** Makes a request a suspect when its connection broke; later reports decide whether its target crashed. */
export function noteConnectionLost(
  step: Step,
  {attemptId, failure}: EventOf<'attemptFailed'>,
): void {
  const {quarantine, requests} = step.state;
  const record = requests.byAttempt.get(attemptId);
  const {cause} = failure;
  if (!record?.attempt) return;
  const {bootId, targetId} = record.attempt;
  if (cause === 'connect-failed') {
    const known = quarantine.losses.get(`${targetId}#${bootId}`);
    if (known) confirmLoss(step, known);
  }
  if (cause !== 'reset' && cause !== 'truncated') return;
  const {fingerprint} = record.info;
  const loss = findLoss(step, targetId, bootId);
  if (addLoss(step, fingerprint, loss)) {
    quarantine.outbox.suspects.add(fingerprint);
  }
  if (bootId !== targetBoot(step, targetId)) confirmLoss(step, loss);
}
