import type {OperationId} from '../ids/index.js';
import type {OperatorRequest} from '../operators/types.js';

/** A checked operator request; answered with an `operatorAnswer` effect. */
export interface OperatorEvent {
  readonly type: 'operatorAsked';
  readonly operationId: OperationId;
  /** Who asks, for the audit trail. */
  readonly operator: string;
  readonly request: OperatorRequest;
}
