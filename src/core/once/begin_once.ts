import type {OnceClaim} from './once_claim.js';
import type {OperationId} from '../ids/index.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {isStoreUp} from '../membership/index.js';
import {resolveExistingClaim} from './resolve_existing_claim.js';
import {nextId} from '../state/index.js';
import {refuseRequest} from '../requests/index.js';
import {writeClaim} from './write_claim.js';

/** Ledger entries that a claim may examine before it is abandoned. */
const MAX_STEPS = 8;
/** Maximum outcomes that wait to be stored; beyond it new claims are refused. */
const MAX_UNRECORDED = 10_000;
const RETRY_AFTER_MS = 1000;

/**
 * Starts to claim the key of an unrepeatable request, which is queued or
 * refused once the claim is decided.
 */
export function beginOnce(step: Step, record: RequestRecord): void {
  const {claims, retries} = step.state.once;
  const onceKey = record.info.onceKey!;
  const known = claims.get(onceKey);
  if (known && resolveExistingClaim(step, record, known)) return;
  // While the store is down, a claim would only delay the caller.
  const isDown = !isStoreUp(step.state, step.nowMs);
  if (isDown || retries.size >= MAX_UNRECORDED) {
    const options = {retryAfterMs: RETRY_AFTER_MS};
    const refusal = createRefusal('OnceLedgerUnavailable', 'not-run', options);
    refuseRequest(step, record, refusal);
    return;
  }
  const claim: OnceClaim = {
    onceKey,
    nonce: nextId<OperationId>(step, 'cl'),
    phase: 'claiming',
    record,
    version: 0,
    examinationsLeft: MAX_STEPS,
    retries: 0,
  };
  claims.set(onceKey, claim);
  writeClaim(step, claim);
}
