import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {callMembershipStore} from './call_membership_store.js';
import {isCallInFlight} from './is_call_in_flight.js';
import {nodeRecord} from './node_record.js';

const KEEP_ALIVES_PER_TTL = 3;
/** Longest wait for the first list of node records before a lease is requested without it. */
const FIRST_LIST_MS = 2000;

/** Acquires, registers and renews this node's lease, with one call in flight at a time. */
export function keepLease(step: Step): void {
  const {state, nowMs} = step;
  const {membership} = state;
  if (membership.isSuperseded || membership.isReleased) return;
  if (nowMs < membership.nextLeaseAtMs) return;
  if (isCallInFlight(state, 'grant', 'register', 'keepAlive', 'evict')) return;
  if (isAwaitingFirstList(step)) return;
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

/** The lease duration depends on the number of nodes, which the first list of records gives. */
function isAwaitingFirstList(step: Step): boolean {
  const {hasView, store, startedAtMs} = step.state.membership;
  const sinceStartMs = step.nowMs - startedAtMs;
  return !hasView && store.failures === 0 && sinceStartMs < FIRST_LIST_MS;
}

/** Leases get longer with the number of nodes, which keeps the write rate of the store nearly constant. */
function leaseTtlMs(step: Step): number {
  const {minLeaseTtlMs, maxLeaseTtlMs, maxFullMesh} = MEMBERSHIP_TIMING;
  const nodes = step.state.membership.peers.size + 1;
  const scaled = minLeaseTtlMs * (nodes / maxFullMesh);
  return Math.min(maxLeaseTtlMs, Math.max(minLeaseTtlMs, scaled));
}
