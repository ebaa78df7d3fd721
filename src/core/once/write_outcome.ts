import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import {callOnce} from './call_once.js';
import {oncePath} from './once_path.js';

/** Writes the outcome of a claim, or removes the entry of an undispatched one. */
export function writeOutcome(step: Step, claim: OnceClaim): void {
  step.state.once.retries.delete(claim);
  callOnce(step, claim, {
    kind: 'compareAndSwap',
    key: oncePath(claim.onceKey),
    expectedVersion: claim.version,
    value: claim.entry ? JSON.stringify(claim.entry) : null,
  });
}
