import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {closeAttempt} from './close_attempt.js';
import {countMetric} from '../state/index.js';
import {removeRequest} from './remove_request.js';
import {recordOnceOutcome} from '../once/index.js';
import {clearCompletedRequest} from '../quarantine/index.js';

/** Completes a request whose response was delivered to the caller in full. */
export function endAttempt(step: Step, event: EventOf<'attemptEnded'>): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  if (!record) return;
  closeAttempt(step, record, {kind: 'ended', tokens: event.tokens});
  clearCompletedRequest(step, record.info);
  if (record.info.unrepeatable) recordOnceOutcome(step, record, event);
  removeRequest(step, record);
  if (record.isDetached) return;
  const {requestId, service} = record.info;
  step.effects.push({type: 'finishAnswer', requestId});
  countMetric(step, 'requests', 1, {service, verdict: 'ran'});
}
