import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {laneOf} from './lane_of.js';
import {queueOf} from './queue_of.js';

/** Removes a request from the queue and deletes its ticket; false when it was not queued. */
export function removeQueuedRequest(
  step: Step,
  record: RequestRecord,
): boolean {
  const {tickets} = step.state.admission;
  const {requestId, service} = record.info;
  const ticket = tickets.get(requestId);
  if (!ticket) return false;
  tickets.delete(requestId);
  if (!ticket.isQueued) return false;
  ticket.isQueued = false;
  const queue = queueOf(step, service).classOf(ticket.isLong);
  queue.noteRemoved(laneOf(step, record.info), ticket);
  return true;
}
