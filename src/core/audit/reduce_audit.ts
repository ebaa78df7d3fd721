import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {STORE_PRIORITY} from '../store/index.js';
import {answerTrailRequest} from './answer_trail_request.js';
import {callStore} from '../state/index.js';
import {noteWriteResult} from './note_write_result.js';
import {writeWaiting} from './write_waiting.js';

const LIST_TIMEOUT_MS = 5000;

/** The audit part of the reducer: writes waiting records, and answers operators' requests for the trail. */
export function reduceAudit(step: Step, event: NodeEvent): void {
  if (event.type === 'operatorAsked') {
    listTrail(step, event);
  } else if (event.type === 'storeResult' && event.area === 'audit') {
    noteWriteResult(step, event);
    answerTrailRequest(step, event);
    writeWaiting(step);
  } else if (event.type === 'tick') {
    writeWaiting(step);
  }
}

function listTrail(
  step: Step,
  {operationId, request}: EventOf<'operatorAsked'>,
): void {
  if (request.kind !== 'audit') return;
  const listing = callStore(
    step,
    'audit',
    {kind: 'list', prefix: 'audit/'},
    {priority: STORE_PRIORITY.config, timeoutMs: LIST_TIMEOUT_MS},
  );
  const {limit} = request;
  step.state.audit.questions.set(listing, {operationId, limit});
}
