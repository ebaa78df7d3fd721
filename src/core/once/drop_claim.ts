import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';

/** Drops a claim; this node never dispatches it afterwards. */
export function dropClaim(step: Step, claim: OnceClaim): void {
  const {claims, retries} = step.state.once;
  delete claim.record;
  retries.delete(claim);
  if (claims.get(claim.onceKey) === claim) claims.delete(claim.onceKey);
}
