import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import type {StoreOutcome} from '../store/types.js';
import {dropClaim} from './drop_claim.js';

const INITIAL_RETRY_MS = 500;
const MAX_RETRY_MS = 30_000;
const MAX_RELEASE_RETRIES = 3;

/** Drops a claim whose outcome is stored; schedules a retry of a write that failed or may have failed. */
export function settleFinalWrite(
  step: Step,
  claim: OnceClaim,
  outcome: StoreOutcome,
): void {
  // A conflict means that an earlier write took effect, or that the retention is over.
  if (outcome.kind === 'ok' || outcome.kind === 'conflict' || isOver()) {
    dropClaim(step, claim);
    return;
  }
  const {once, random} = step.state;
  const backoffMs = INITIAL_RETRY_MS * 2 ** claim.retries;
  claim.retries += 1;
  claim.retryAtMs =
    step.nowMs + Math.min(MAX_RETRY_MS, backoffMs) * (0.5 + random.next());
  once.retries.add(claim);

  function isOver(): boolean {
    if (claim.phase === 'releasing')
      return claim.retries >= MAX_RELEASE_RETRIES;
    return step.nowMs > claim.entry!.expiresAtMs;
  }
}
