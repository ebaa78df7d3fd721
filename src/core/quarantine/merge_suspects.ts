import type {QuarantineMessage} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {addLoss} from './add_loss.js';
import {clearSuspect} from './clear_suspect.js';
import {confirmLoss} from './confirm_loss.js';
import {findLoss} from './find_loss.js';

type SuspectsMessage = Extract<
  QuarantineMessage,
  {type: 'quarantine.suspects'}
>;

/** Merges a peer's suspects and clearances into the state, and queues new ones for other peers. */
export function mergeSuspects(step: Step, message: SuspectsMessage): void {
  const {outbox} = step.state.quarantine;
  for (const {fingerprint, losses, remainingMs} of message.suspects) {
    for (const {targetId, bootId, isConfirmed} of losses) {
      const loss = findLoss(step, targetId, bootId);
      if (addLoss(step, fingerprint, loss, remainingMs)) {
        outbox.suspects.add(fingerprint);
      }
      if (isConfirmed) confirmLoss(step, loss);
    }
  }
  for (const fingerprint of message.cleared) {
    if (clearSuspect(step, fingerprint)) outbox.cleared.add(fingerprint);
  }
}
