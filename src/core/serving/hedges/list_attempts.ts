import type {AttemptRecord, RequestRecord, ServingState} from '../types.js';

/** Lists the running attempts of all requests, silent ones included. */
export function* listAttempts({
  requestsByAttempt,
}: ServingState): Generator<readonly [RequestRecord, AttemptRecord]> {
  for (const [attemptId, record] of requestsByAttempt) {
    const {attempt, silentRun} = record;
    if (attempt?.attemptId === attemptId) yield [record, attempt];
    else if (silentRun?.attempt) yield [record, silentRun.attempt];
  }
}
