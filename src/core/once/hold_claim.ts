import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {queueRequest} from '../requests/index.js';

/** Marks a key as held by this node and queues its request, which may be dispatched once. */
export function holdClaim(step: Step, claim: OnceClaim, version: number): void {
  claim.phase = 'held';
  claim.version = version;
  queueRequest(step, claim.record!);
}
