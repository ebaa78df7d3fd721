import type {LeaseId, OperationId} from '../ids/index.js';

/** The lease under which this node's stewardships stand. */
export interface StewardLease {
  leaseId?: LeaseId;
  /** Until when the lease surely holds in the store; 0 without one. */
  safeUntilMs: number;
  operationId?: OperationId;
  sentAtMs: number;
  nextAtMs: number;
}
