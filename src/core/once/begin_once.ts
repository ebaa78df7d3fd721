import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {createRefusal} from '../errors/index.js';
import {refuseRequest} from '../requests/index.js';

/** Claims the key of an unrepeatable request; calls `claimWon` or refuses later. */
export function beginOnce(step: Step, record: RequestRecord): void {
  const refusal = createRefusal('OnceLedgerUnavailable', 'not-run', {
    retryAfterMs: 1000,
  });
  refuseRequest(step, record, refusal);
}
