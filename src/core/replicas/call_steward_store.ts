import type {Step} from '../state/types.js';
import type {StoreOperation} from '../store/types.js';
import type {Stewardship} from './stewardship.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

/** Starts the one store call that a stewardship may have in flight. */
export function callStewardStore(
  step: Step,
  stewardship: Stewardship,
  name: NonNullable<Stewardship['operation']>,
  operation: StoreOperation,
): void {
  stewardship.operation = name;
  stewardship.operationId = callStore(step, 'replicas', operation, {
    priority: STORE_PRIORITY.steward,
  });
}
