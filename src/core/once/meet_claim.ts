import type {OnceClaim} from './once_claim.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {answerRecorded} from './answer_recorded.js';
import {claimWon} from '../requests/index.js';
import {dropClaim} from './drop_claim.js';
import {refuseOnce} from './refuse_once.js';

/** Handles a request whose key this node already works on; false when the key is free. */
export function meetClaim(
  step: Step,
  record: RequestRecord,
  known: OnceClaim,
): boolean {
  if (known.phase === 'releasing') {
    dropClaim(step, known);
    return false;
  }
  const first = known.record;
  const bodyDigest = first?.info.bodyDigest ?? known.entry?.bodyDigest;
  if (bodyDigest !== record.info.bodyDigest) {
    refuseOnce(step, record, 'IdempotencyKeyReused', 'not-run');
  } else if (known.entry) {
    answerRecorded(step, record, known.entry);
  } else if (!first || known.phase === 'dispatched') {
    refuseOnce(step, record, 'AlreadyRunning', 'may-have-run');
  } else {
    // Not dispatched yet: the newer request goes on with the claim.
    known.record = record;
    refuseOnce(step, first, 'AlreadyRunning', 'not-run');
    if (known.phase === 'held') claimWon(step, record);
  }
  return true;
}
