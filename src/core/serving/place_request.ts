import type {RequestRecord, ServingStep} from './types.js';
import {dispatchWaiting} from './dispatch_waiting.js';

/** Puts a request among those that wait for a target, and dispatches what can go. */
export function placeRequest(step: ServingStep, record: RequestRecord): void {
  const {waiting} = step.state;
  record.waitingSinceMs = step.nowMs;
  const ofPool = waiting.get(record.pool);
  if (ofPool) ofPool.push(record);
  else waiting.set(record.pool, [record]);
  dispatchWaiting(step, record.pool);
}
