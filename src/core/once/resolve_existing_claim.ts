import type {OnceClaim} from './once_claim.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {answerRecorded} from './answer_recorded.js';
import {queueRequest} from '../requests/index.js';
import {dropClaim} from './drop_claim.js';
import {refuseOnce} from './refuse_once.js';

/** Handles a request whose key this node already has a claim on; false when the key is free. */
export function resolveExistingClaim(
  step: Step,
  record: RequestRecord,
  existing: OnceClaim,
): boolean {
  if (existing.phase === 'releasing') {
    dropClaim(step, existing);
    return false;
  }
  const first = existing.record;
  const bodyDigest = first?.info.bodyDigest ?? existing.entry?.bodyDigest;
  if (bodyDigest !== record.info.bodyDigest) {
    refuseOnce(step, record, 'IdempotencyKeyReused', 'not-run');
  } else if (existing.entry) {
    answerRecorded(step, record, existing.entry);
  } else if (!first || existing.phase === 'dispatched') {
    refuseOnce(step, record, 'AlreadyRunning', 'may-have-run');
  } else {
    // Not dispatched yet: the newer request takes over the claim.
    existing.record = record;
    refuseOnce(step, first, 'AlreadyRunning', 'not-run');
    if (existing.phase === 'held') queueRequest(step, record);
  }
  return true;
}
