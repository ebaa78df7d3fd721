import type {AttemptId} from '../../ids/index.js';
import type {AttemptRecord, RequestRecord, ServingState} from '../types.js';

/** Finds an attempt and its request, whether it is the request's current run or a silent one. */
export function findAttempt(
  {requestsByAttempt}: ServingState,
  attemptId: AttemptId,
):
  | {readonly record: RequestRecord; readonly attempt: AttemptRecord}
  | undefined {
  const record = requestsByAttempt.get(attemptId);
  if (!record) return undefined;
  for (const attempt of [record.attempt, record.silentRun?.attempt]) {
    if (attempt?.attemptId === attemptId) return {record, attempt};
  }
  return undefined;
}
