import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {claimWon} from '../requests/index.js';

/** The key is this node's: the request may be dispatched, once. */
export function winClaim(step: Step, claim: OnceClaim, version: number): void {
  claim.phase = 'held';
  claim.version = version;
  claimWon(step, claim.record!);
}
