import type {CoreArea} from '../events/types.js';
import type {OperationId} from '../ids/index.js';
import type {Step} from './step.js';
import type {StoreOperation} from '../store/types.js';
import {nextId} from './next_id.js';

const STORE_TIMEOUT_MS = 2000;

interface CallOptions {
  /** A value of `STORE_PRIORITY`. */
  readonly priority: number;
  readonly timeoutMs?: number;
}

/** Emits a store call; its result is delivered to `area` under the returned ID. */
export function callStore(
  step: Step,
  area: CoreArea,
  operation: StoreOperation,
  options: CallOptions,
): OperationId {
  const operationId = nextId<OperationId>(step, 'op');
  step.effects.push({
    type: 'store',
    area,
    operationId,
    priority: options.priority,
    timeoutMs: options.timeoutMs ?? STORE_TIMEOUT_MS,
    operation,
  });
  return operationId;
}
