import type {RequestRecord, ServingStep} from './types.js';
import {dispatchWaiting} from './dispatch_waiting.js';

/** Part of the time that is left in which a request may wait without a place: a return after that still finds some. */
const HOLD_SHARE = 0.5;

/** Puts a request among those that wait for a target, and dispatches what can go. */
export function placeRequest(step: ServingStep, record: RequestRecord): void {
  const {state, nowMs} = step;
  record.waitingSinceMs = nowMs;
  record.holdUntilMs = nowMs + HOLD_SHARE * (record.giveUpAtMs - nowMs);
  const ofPool = state.waiting.get(record.pool);
  if (ofPool) ofPool.push(record);
  else state.waiting.set(record.pool, [record]);
  dispatchWaiting(step, record.pool);
}
