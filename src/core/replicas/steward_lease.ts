import type {LeaseId, OperationId} from '../ids/index.js';

/** The lease to which this node's stewardships are attached. */
export interface StewardLease {
  leaseId?: LeaseId;
  /** Until when the lease certainly holds in the store; 0 without one. */
  safeUntilMs: number;
  operationId?: OperationId;
  sentAtMs: number;
  nextAtMs: number;
}
