import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {noteLongRunning} from './note_long_running.js';

/** Reduces the events of admission: learns output lengths and reclassifies running requests as long. */
export function reduceAdmission(step: Step, event: NodeEvent): void {
  switch (event.type) {
    case 'attemptProgress':
      return reclassify(step, event);
    case 'attemptEnded':
      return learnLength(step, event);
    case 'tick':
      return markWaitingReady(step);
    default:
  }
}

/** A request whose output passes the long threshold of its service is long, whatever its estimate. */
function reclassify(step: Step, event: EventOf<'attemptProgress'>): void {
  const {lengths, options, tickets} = step.state.admission;
  const record = step.state.requests.byAttempt.get(event.attemptId);
  const ticket = record && tickets.get(record.info.requestId);
  if (!ticket || ticket.isLong || !options.shortFirst) return;
  const tokens = ticket.record.deliveredTokens + event.tokens;
  ticket.isLong = tokens >= lengths.longTokens(ticket.record.info.service);
  noteLongRunning(step, ticket.record, ticket.isLong);
}

function learnLength(step: Step, event: EventOf<'attemptEnded'>): void {
  const record = step.state.requests.byAttempt.get(event.attemptId);
  if (!record) return;
  const tokens = record.deliveredTokens + event.tokens;
  step.state.admission.lengths.learn(record.info, tokens);
}

/** Marks all waiting services for dispatch: time alone may age a request or make a target eligible. */
function markWaitingReady(step: Step): void {
  const {queues, ready} = step.state.admission;
  for (const [service, queue] of queues) {
    if (queue.size > 0) ready.add(service);
  }
}
