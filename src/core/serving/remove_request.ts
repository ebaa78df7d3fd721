import type {RequestRecord, ServingStep} from './types.js';
import {cancelRun} from './hedges/index.js';

/** Removes a request that has its final response or whose caller has disconnected, and cancels what still runs. */
export function removeRequest(step: ServingStep, record: RequestRecord): void {
  const {state} = step;
  const {attempt, forward, silentRun} = record;
  cancelRun(step, record, {attempt, forward});
  if (silentRun) cancelRun(step, record, silentRun);
  const waiting = state.waitingByPool.get(record.pool);
  const index = waiting?.indexOf(record) ?? -1;
  if (index >= 0) waiting!.splice(index, 1);
  state.requests.delete(record.request.requestId);
}
