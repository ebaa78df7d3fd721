import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {callMembershipStore} from './call_membership_store.js';
import {isCalling} from './is_calling.js';
import {nodeRecord} from './node_record.js';

const KEEP_ALIVES_PER_TTL = 3;
const FIRST_LIST_MS = 2000;

/** Takes, registers and keeps this node's lease; one call at a time. */
export function keepLease(step: Step): void {
  const {state, nowMs} = step;
  const {membership} = state;
  if (membership.isSuperseded || membership.isReleased) return;
  if (nowMs < membership.nextLeaseAtMs) return;
  if (isCalling(state, 'grant', 'register', 'keepAlive', 'evict')) return;
  if (awaitsFirstList(step)) return;
  const {leaseId} = membership;
  if (!leaseId) {
    membership.leaseTtlMs = leaseTtlMs(step);
    const {leaseTtlMs: ttlMs} = membership;
    callMembershipStore(step, 'grant', {kind: 'grantLease', ttlMs});
    return;
  }
  if (membership.isRegistered) {
    callMembershipStore(step, 'keepAlive', {kind: 'keepAlive', leaseId});
    membership.nextLeaseAtMs =
      nowMs + membership.leaseTtlMs / KEEP_ALIVES_PER_TTL;
    return;
  }
  callMembershipStore(step, 'register', {
    kind: 'compareAndSwap',
    key: nodeRecord.key(state.self.nodeId),
    expectedVersion: membership.recordVersion,
    value: nodeRecord.write(state),
    leaseId,
  });
}

/** The first list tells how many nodes there are, and by that how long the lease is to be. */
function awaitsFirstList(step: Step): boolean {
  const {hasView, store, startedAtMs} = step.state.membership;
  const sinceStartMs = step.nowMs - startedAtMs;
  return !hasView && store.failures === 0 && sinceStartMs < FIRST_LIST_MS;
}

/** Longer leases as nodes grow keep the store's writes near the same rate. */
function leaseTtlMs(step: Step): number {
  const {minLeaseTtlMs, maxLeaseTtlMs, maxFullMesh} = MEMBERSHIP_TIMING;
  const nodes = step.state.membership.peers.size + 1;
  const scaled = minLeaseTtlMs * (nodes / maxFullMesh);
  return Math.min(maxLeaseTtlMs, Math.max(minLeaseTtlMs, scaled));
}
