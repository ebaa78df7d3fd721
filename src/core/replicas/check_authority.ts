import type {Step} from '../state/types.js';
import {dropAuthority} from './drop_authority.js';

/** Gives authority up when the lease may have expired, as in a pause; runs before any other handling. */
export function checkAuthority(step: Step): void {
  const {lease} = step.state.replicas;
  if (lease.leaseId === undefined || step.nowMs < lease.safeUntilMs) return;
  dropAuthority(step, 'lease may have expired');
}
