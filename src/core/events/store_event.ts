import type {CoreArea} from './core_area.js';
import type {OperationId} from '../ids/index.js';
import type {StoreOutcome} from '../store/types.js';

/** Result of a `store` effect, for the area that emitted it. */
export interface StoreEvent {
  readonly type: 'storeResult';
  readonly area: CoreArea;
  readonly operationId: OperationId;
  readonly outcome: StoreOutcome;
}
