import type {AttemptRecord, RequestRecord, ServingState} from '../types.js';
import {isEngineCold} from './is_engine_cold.js';

/** Records that an attempt failed, so that its request is not sent to another cold engine if this one was cold. */
export function recordColdFailure(
  state: ServingState,
  record: RequestRecord,
  attempt: AttemptRecord,
  nowMs: number,
): void {
  if (attempt.isCold || isEngineCold(state, attempt.vmId, nowMs)) {
    record.hasFailedCold = true;
  }
}
