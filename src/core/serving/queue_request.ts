import type {RequestRecord, ServingStep} from './types.js';
import {dispatchWaiting} from './dispatch_waiting.js';

/** Share of the remaining time that a request may wait for a target; the rest leaves its caller time to retry. */
const MAX_WAIT_SHARE = 0.5;

/** Adds a request to its pool's queue and dispatches what the pool has capacity for. */
export function queueRequest(step: ServingStep, record: RequestRecord): void {
  const {state, nowMs} = step;
  record.waitingSinceMs = nowMs;
  record.waitDeadlineAtMs =
    nowMs + MAX_WAIT_SHARE * (record.deadlineAtMs - nowMs);
  const queue = state.waitingByPool.get(record.pool);
  if (queue) queue.push(record);
  else state.waitingByPool.set(record.pool, [record]);
  dispatchWaiting(step, record.pool);
}
