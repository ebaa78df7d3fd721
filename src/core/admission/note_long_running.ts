import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {queueOf} from './queue_of.js';

/** Tracks the long streams that run and are thus candidates for a pause. */
export function noteLongRunning(
  step: Step,
  record: RequestRecord,
  isRunning: boolean,
): void {
  const ticket = step.state.admission.tickets.get(record.info.requestId);
  if (!ticket) return;
  const {runningLong} = queueOf(step, record.info.service);
  if (isRunning && ticket.isLong) runningLong.add(ticket);
  else runningLong.delete(ticket);
}
