import type {OnceClaim} from './once_claim.js';
import type {Step} from '../state/types.js';
import type {StoreOperation} from '../store/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

const CLAIM_TIMEOUT_MS = 1000;

/** Emits a store call for a claim and records the claim as the receiver of its result. */
export function callOnce(
  step: Step,
  claim: OnceClaim,
  operation: StoreOperation,
): void {
  const operationId = callStore(step, 'once', operation, {
    priority: STORE_PRIORITY.onceClaim,
    timeoutMs: CLAIM_TIMEOUT_MS,
  });
  step.state.once.operations.set(operationId, claim);
}
