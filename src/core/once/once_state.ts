import type {OnceClaim} from './once_claim.js';
import type {OnceKey, OperationId} from '../ids/index.js';

/** Claims that this node holds or asks for. */
export interface OnceState {
  readonly claims: Map<OnceKey, OnceClaim>;
  /** Store calls and questions that are not answered yet. */
  readonly operations: Map<OperationId, OnceClaim>;
  /** Claims whose write waits to be tried again. */
  readonly retries: Set<OnceClaim>;
  readonly sweep: {
    nextAtMs: number;
    afterKey: string;
    operationId?: OperationId;
  };
}
