import type {MembershipCall} from './membership_call.js';
import type {StoreOutcome} from '../store/types.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {logEvent} from '../state/index.js';
import {nodeRecord} from './node_record.js';
import {storeBackoffMs} from './store_backoff.js';

/** Carries the lease on by the result of its last call. */
export function noteLeaseResult(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  const {state, nowMs} = step;
  const {membership} = state;
  if (outcome.kind === 'unknown' || outcome.kind === 'unavailable') {
    membership.nextLeaseAtMs = nowMs + storeBackoffMs(state);
    return;
  }
  if (call.purpose === 'grant') noteGrant(step, call, outcome);
  else if (call.purpose === 'register') noteRegister(step, call, outcome);
  else noteKeepAlive(step, call, outcome);
}

function noteGrant(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  const {membership} = step.state;
  if (outcome.kind !== 'ok' || !outcome.leaseId) return;
  membership.leaseId = outcome.leaseId;
  membership.leaseGrantedAtMs = call.sentAtMs;
  membership.nextLeaseAtMs = step.nowMs;
}

function noteRegister(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  const {membership} = step.state;
  if (outcome.kind === 'ok') {
    membership.recordVersion = outcome.version ?? 0;
    holdFrom(step, membership.leaseGrantedAtMs);
    return;
  }
  if (outcome.kind !== 'conflict') return;
  const {current} = outcome;
  const standing = current && nodeRecord.read(current.value);
  membership.nextLeaseAtMs = step.nowMs + storeBackoffMs(step.state);
  if (!current || !standing) {
    // The lease is gone, or the record: start over.
    dropLease(step);
    return;
  }
  membership.recordVersion = current.version;
  const isOwn = standing.incarnation === step.state.self.incarnation;
  if (isOwn && current.leaseId === membership.leaseId) {
    holdFrom(step, membership.leaseGrantedAtMs);
  } else if (!isOwn && standing.startedAtMs > membership.startedAtMs) {
    supersede(step);
  } else {
    membership.nextLeaseAtMs = step.nowMs; // write over an earlier incarnation's record
  }
}

function noteKeepAlive(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  if (outcome.kind === 'ok') {
    extend(step, call.sentAtMs);
    return;
  }
  dropLease(step);
  logEvent(step, 'warn', 'membership', 'lease was lost');
}

function holdFrom(step: Step, sinceMs: number): void {
  const {membership} = step.state;
  membership.isRegistered = true;
  membership.nextLeaseAtMs = step.nowMs + membership.leaseTtlMs / 3;
  extend(step, sinceMs);
}

function extend(step: Step, sinceMs: number): void {
  const {membership} = step.state;
  const safeMs = membership.leaseTtlMs * MEMBERSHIP_TIMING.leaseSafeShare;
  const untilMs = sinceMs + safeMs;
  membership.leaseSafeUntilMs = Math.max(membership.leaseSafeUntilMs, untilMs);
}

function dropLease(step: Step): void {
  const {membership} = step.state;
  delete membership.leaseId;
  membership.isRegistered = false;
  membership.leaseSafeUntilMs = 0;
  membership.recordVersion = 0;
}

function supersede(step: Step): void {
  step.state.membership.isSuperseded = true;
  dropLease(step);
  logEvent(step, 'error', 'membership', 'a later start of this node exists');
}
