import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {dropAuthority} from './drop_authority.js';

/** Applies the result of a lease call; false when the result is of another call. */
export function noteLeaseResult(
  step: Step,
  {operationId, outcome}: EventOf<'storeResult'>,
): boolean {
  const {lease} = step.state.replicas;
  if (operationId !== lease.operationId) return false;
  delete lease.operationId;
  if (outcome.kind === 'conflict') {
    dropAuthority(step, 'lease is gone');
  } else if (outcome.kind === 'ok') {
    lease.leaseId ??= outcome.leaseId;
    const {leaseTtlMs, driftMs} = STEWARD_TIMING;
    lease.safeUntilMs = lease.sentAtMs + leaseTtlMs - driftMs;
  }
  return true;
}
