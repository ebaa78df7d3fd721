import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import {openTicket} from './open_ticket.js';
import {putInQueue} from './put_in_queue.js';

/** Requeues a request after a failed or paused attempt, at the front of its organisation's lane. */
export function requeueRequest(step: Step, record: RequestRecord): void {
  putInQueue(step, openTicket(step, record), true);
}
