import type {EventOf} from '../events/types.js';
import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import type {StoreOutcome} from '../store/types.js';
import {callOnce} from './call_once.js';
import {examineEntry} from './examine_entry.js';
import {giveUpClaim} from './give_up_claim.js';
import {oncePath} from './once_path.js';
import {releaseAbandoned} from './release_abandoned.js';
import {settleFinalWrite} from './settle_final_write.js';
import {holdClaim} from './hold_claim.js';

/** Advances a claim after its store call; a second result of the same call is ignored. */
export function settleStoreResult(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): void {
  const {claims, operations} = step.state.once;
  const claim = operations.get(operationId);
  if (!claim || !operations.delete(operationId)) return;
  if (claims.get(claim.onceKey) !== claim) {
    releaseAbandoned(step, claim, outcome);
    return;
  }
  switch (claim.phase) {
    case 'claiming':
    case 'taking':
      return settleWrite(step, claim, outcome);
    case 'reading':
      return settleRead(step, claim, outcome);
    case 'recording':
    case 'releasing':
      return settleFinalWrite(step, claim, outcome);
    default:
  }
}

function settleWrite(
  step: Step,
  claim: OnceClaim,
  outcome: StoreOutcome,
): void {
  switch (outcome.kind) {
    case 'ok':
      return holdClaim(step, claim, outcome.version!);
    case 'conflict':
      return examineEntry(step, claim, outcome.current);
    case 'unknown':
      claim.phase = 'reading';
      return callOnce(step, claim, {
        kind: 'get',
        key: oncePath(claim.onceKey),
      });
    case 'unavailable':
      return giveUpClaim(step, claim, 'OnceLedgerUnavailable', 'not-run');
  }
}

function settleRead(step: Step, claim: OnceClaim, outcome: StoreOutcome): void {
  if (outcome.kind === 'ok') {
    examineEntry(step, claim, outcome.entries?.[0]);
  } else {
    // If the write still takes effect, it is never dispatched: this node has dropped the claim.
    giveUpClaim(step, claim, 'OnceLedgerUnavailable', 'not-run');
  }
}
