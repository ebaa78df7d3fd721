import type {RequestRecord, ServingState, ServingTarget} from '../types.js';
import {findColdOpening} from './find_cold_opening.js';

/** Whether a target is cold and this node must not send a request there now. */
export function isClosedByCold(
  state: ServingState,
  record: RequestRecord,
  target: ServingTarget,
  nowMs: number,
): boolean {
  return findColdOpening(state, record, target, nowMs) !== undefined;
}
