import type {OperationId} from '../ids/index.js';
import type {OperatorRequest} from '../operators/types.js';

/** An authenticated operator request; answered with an `operatorAnswer` effect. */
export interface OperatorEvent {
  readonly type: 'operatorAsked';
  readonly operationId: OperationId;
  /** Name of the operator, for the audit trail. */
  readonly operator: string;
  readonly request: OperatorRequest;
}
