import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {laneOf} from './lane_of.js';
import {queueOf} from './queue_of.js';

/** Puts a ticket into the queue of its class, at the end or the front of its organisation's lane. */
export function putInQueue(step: Step, ticket: Ticket, first: boolean): void {
  const {info} = ticket.record;
  const lane = laneOf(step, info);
  ticket.isQueued = true;
  queueOf(step, info.service).classOf(ticket.isLong).push(lane, ticket, first);
  step.state.admission.ready.add(info.service);
}
