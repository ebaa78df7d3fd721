import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {claimWon} from '../requests/index.js';

/** Marks a key as held by this node and queues its request, which may be dispatched once. */
export function winClaim(step: Step, claim: OnceClaim, version: number): void {
  claim.phase = 'held';
  claim.version = version;
  claimWon(step, claim.record!);
}
