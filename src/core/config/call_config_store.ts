import type {ConfigCall} from './config_call.js';
import type {OperationId} from '../ids/index.js';
import type {StoreOperation} from '../store/types.js';
import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {callStore} from '../state/index.js';

/** Time added to the time-out of a watch, so that the store ends the watch first. */
const WATCH_MARGIN_MS = 2000;

/** Calls the store and records the purpose of the call under its operation id. */
export function callConfigStore(
  step: Step,
  call: ConfigCall,
  operation: StoreOperation,
): OperationId {
  const operationId = callStore(step, 'config', operation, {
    priority: STORE_PRIORITY.config,
    ...(operation.kind === 'watch' && {
      timeoutMs: operation.timeoutMs + WATCH_MARGIN_MS,
    }),
  });
  step.state.config.calls.set(operationId, call);
  return operationId;
}
