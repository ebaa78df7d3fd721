import type {EventOf} from '../events/types.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {createOnceEntry} from './create_once_entry.js';
import {dropClaim} from './drop_claim.js';
import {writeOutcome} from './write_outcome.js';

/**
 * Records the outcome of an unrepeatable request: its response, that it did not run, or unknown.
 * The caller's response does not wait for the write: until it is stored the key
 * stays claimed, and a claim is never dispatched again.
 */
export function recordOnceOutcome(
  step: Step,
  record: RequestRecord,
  ended?: EventOf<'attemptEnded'>,
): void {
  const claim = step.state.once.claims.get(record.info.onceKey!);
  if (!claim || claim.record !== record) return;
  if (claim.phase !== 'held' && claim.phase !== 'dispatched') {
    dropClaim(step, claim);
    return;
  }
  delete claim.record;
  const {info} = record;
  if (ended) {
    const {answer, status} = ended;
    const outcome = {state: 'ran', status, ...(answer && {answer})} as const;
    claim.entry = createOnceEntry(step, claim, info, outcome);
  } else if (record.verdict !== 'not-run') {
    claim.entry = createOnceEntry(step, claim, info, {state: 'unknown'});
  }
  claim.phase = claim.entry ? 'recording' : 'releasing';
  writeOutcome(step, claim);
}
