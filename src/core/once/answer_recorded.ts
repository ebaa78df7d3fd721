import type {OnceEntry} from './once_entry.js';
import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {countMetric} from '../state/index.js';
import {removeRequest} from '../requests/index.js';
import {refuseOnce} from './refuse_once.js';

/**
 * Answers a request whose key has a recorded outcome: with the stored response,
 * if there is one, or a refusal.
 */
export function answerRecorded(
  step: Step,
  record: RequestRecord,
  entry: OnceEntry,
): void {
  const {answer, state, status} = entry;
  if (state !== 'ran') {
    refuseOnce(step, record, 'MayHaveRun', 'may-have-run');
    return;
  }
  if (!answer || status === undefined) {
    refuseOnce(step, record, 'AlreadyRan', 'ran');
    return;
  }
  removeRequest(step, record);
  const {requestId, service} = record.info;
  step.effects.push({type: 'answerKept', requestId, status, ...answer});
  countMetric(step, 'requests', 1, {service, verdict: 'ran'});
}
