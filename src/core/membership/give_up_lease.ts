import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

/** Drops the lease at once and revokes it in the store, so that others need not wait for it to expire. */
export function giveUpLease(step: Step): void {
  const {membership} = step.state;
  const {leaseId} = membership;
  membership.isRegistered = false;
  membership.leaseSafeUntilMs = 0;
  membership.recordVersion = 0;
  membership.nextLeaseAtMs = step.nowMs;
  if (!leaseId) return;
  delete membership.leaseId;
  callStore(
    step,
    'membership',
    {kind: 'revokeLease', leaseId},
    {priority: STORE_PRIORITY.lease},
  );
}
