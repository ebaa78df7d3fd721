import type {OnceClaim} from './once_claim.js';
import type {OnceKey, OperationId} from '../ids/index.js';

/** Claims that this node holds or tries to acquire, and the progress of the sweep. */
export interface OnceState {
  readonly claims: Map<OnceKey, OnceClaim>;
  /** Pending store calls and peer queries. */
  readonly operations: Map<OperationId, OnceClaim>;
  /** Claims with a failed write that waits for its retry. */
  readonly retries: Set<OnceClaim>;
  readonly sweep: {
    nextAtMs: number;
    afterKey: string;
    operationId?: OperationId;
  };
}
