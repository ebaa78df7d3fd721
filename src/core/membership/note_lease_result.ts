import type {MembershipCall} from './membership_call.js';
import type {StoreEntry, StoreOutcome} from '../store/types.js';
import type {Step} from '../state/types.js';
import {callMembershipStore} from './call_membership_store.js';
import {makeId, type LeaseId} from '../ids/index.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {logEvent} from '../state/index.js';
import {nodeRecord} from './node_record.js';
import {storeBackoffMs} from './store_backoff.js';

/** Continues acquiring or renewing the lease by the result of its last call. */
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
  else if (call.purpose === 'evict') noteEvicted(step);
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
    markRegistered(step, membership.leaseGrantedAtMs);
    return;
  }
  if (outcome.kind !== 'conflict') return;
  const {current} = outcome;
  const standing = current && nodeRecord.read(current.value);
  membership.nextLeaseAtMs = step.nowMs + storeBackoffMs(step.state);
  if (!current || !standing) {
    // The lease or the record no longer exists: start over.
    dropLease(step);
    return;
  }
  membership.recordVersion = current.version;
  const isOwn = standing.incarnation === step.state.self.incarnation;
  if (isOwn && current.leaseId === membership.leaseId) {
    markRegistered(step, membership.leaseGrantedAtMs);
  } else if (!isOwn && standing.startedAtMs > membership.startedAtMs) {
    supersede(step);
  } else {
    evict(step, current);
  }
}

function noteKeepAlive(
  step: Step,
  call: MembershipCall,
  outcome: StoreOutcome,
): void {
  if (outcome.kind === 'ok') {
    extendLease(step, call.sentAtMs);
    return;
  }
  dropLease(step);
  logEvent(step, 'warn', 'membership', 'lease was lost');
}

function markRegistered(step: Step, sinceMs: number): void {
  const {membership} = step.state;
  membership.isRegistered = true;
  membership.nextLeaseAtMs = step.nowMs + membership.leaseTtlMs / 3;
  extendLease(step, sinceMs);
}

function extendLease(step: Step, sinceMs: number): void {
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

/**
 * The record is attached to the lease of an earlier incarnation, or to an earlier
 * lease of this one, whose holder may still act on it. That lease is revoked, and
 * this node has no authority until the former holder can no longer rely on it.
 */
function evict(step: Step, entry: StoreEntry): void {
  const {membership} = step.state;
  const {leaseId} = entry;
  if (leaseId === undefined) {
    membership.nextLeaseAtMs = step.nowMs; // overwrite the record, which no lease protects
    return;
  }
  const operation = {
    kind: 'revokeLease',
    leaseId: makeId<LeaseId>(leaseId),
  } as const;
  membership.evictedTtlMs = nodeRecord.leaseTtlMs(entry.value);
  callMembershipStore(step, 'evict', operation);
}

function noteEvicted(step: Step): void {
  const {membership} = step.state;
  const safeMs = membership.evictedTtlMs * MEMBERSHIP_TIMING.leaseSafeShare;
  membership.authorityFromMs = step.nowMs + safeMs;
  membership.recordVersion = 0;
  membership.nextLeaseAtMs = step.nowMs;
}

function supersede(step: Step): void {
  step.state.membership.isSuperseded = true;
  dropLease(step);
  logEvent(step, 'error', 'membership', 'a later start of this node exists');
}
