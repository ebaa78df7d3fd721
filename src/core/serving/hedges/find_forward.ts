import type {AttemptId} from '../../ids/index.js';
import type {ForwardRecord} from '../forwarding/types.js';
import type {RequestRecord, ServingState} from '../types.js';

/** Finds a forward and its request, whether it is the request's current run or a silent one. */
export function findForward(
  {forwarding}: ServingState,
  attemptId: AttemptId,
):
  | {readonly record: RequestRecord; readonly forward: ForwardRecord}
  | undefined {
  const record = forwarding.byAttempt.get(attemptId);
  if (!record) return undefined;
  for (const forward of [record.forward, record.silentRun?.forward]) {
    if (forward?.attemptId === attemptId) return {record, forward};
  }
  return undefined;
}
