import type {Step} from '../state/types.js';
import {dropAuthority} from './drop_authority.js';

/** Runs before anything else: a node whose lease may have lapsed, as in a pause, gives its authority up. */
export function checkAuthority(step: Step): void {
  const {lease} = step.state.replicas;
  if (lease.leaseId === undefined || step.nowMs < lease.safeUntilMs) return;
  dropAuthority(step, 'lease may have lapsed');
}
