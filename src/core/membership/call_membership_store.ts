import type {MembershipCall} from './membership_call.js';
import type {StoreOperation} from '../store/types.js';
import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

/** Added to the time that the store holds a watch open, for the response to arrive. */
const WATCH_MARGIN_MS = 2000;

/** Calls the store and records the purpose of the call, by which its result is handled. */
export function callMembershipStore(
  step: Step,
  purpose: MembershipCall['purpose'],
  operation: StoreOperation,
): void {
  const isLease = operation.kind !== 'list' && operation.kind !== 'watch';
  const operationId = callStore(step, 'membership', operation, {
    priority: isLease ? STORE_PRIORITY.lease : STORE_PRIORITY.membership,
    ...(operation.kind === 'watch' && {
      timeoutMs: operation.timeoutMs + WATCH_MARGIN_MS,
    }),
  });
  step.state.membership.calls.set(operationId, {
    purpose,
    sentAtMs: step.nowMs,
  });
}
