import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

const RESPONSE_TIMEOUT_MS = 1000;

/** Requests a lease, or renews the current one. */
export function keepStewardLease(step: Step): void {
  const {lease} = step.state.replicas;
  if (lease.operationId !== undefined || step.nowMs < lease.nextAtMs) return;
  const {leaseId} = lease;
  lease.sentAtMs = step.nowMs;
  lease.nextAtMs = step.nowMs + STEWARD_TIMING.keepAliveMs;
  lease.operationId = callStore(
    step,
    'replicas',
    leaseId === undefined
      ? {kind: 'grantLease', ttlMs: STEWARD_TIMING.leaseTtlMs}
      : {kind: 'keepAlive', leaseId},
    {priority: STORE_PRIORITY.lease, timeoutMs: RESPONSE_TIMEOUT_MS},
  );
}
