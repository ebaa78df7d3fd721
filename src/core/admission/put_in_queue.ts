import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {queueOf} from './queue_of.js';

/** Puts a ticket into the queue of its class, at the end or first of its organisation. */
export function putInQueue(step: Step, ticket: Ticket, first: boolean): void {
  const {options, ready} = step.state.admission;
  const {organisation, service} = ticket.record.info;
  const lane = options.fairness ? organisation : undefined;
  ticket.isQueued = true;
  queueOf(step, service).classOf(ticket.isLong).push(lane, ticket, first);
  ready.add(service);
}
