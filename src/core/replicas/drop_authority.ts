import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';
import {dropStewardship} from './drop_stewardship.js';

/** Gives up the lease and all stewardships that depend on it. */
export function dropAuthority(step: Step, reason: string): void {
  const {lease, stewardships} = step.state.replicas;
  const {leaseId} = lease;
  delete lease.leaseId;
  delete lease.operationId;
  lease.safeUntilMs = 0;
  lease.nextAtMs = step.nowMs;
  for (const stewardship of stewardships.values()) {
    dropStewardship(step, stewardship, reason);
  }
  if (leaseId === undefined) return;
  const operation = {kind: 'revokeLease', leaseId} as const;
  callStore(step, 'replicas', operation, {priority: STORE_PRIORITY.lease});
}
