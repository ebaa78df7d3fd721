import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {queueOf} from './queue_of.js';

/** Requests that may wait before the drain rate is trusted. */
const MIN_AHEAD = 4;

/** How long a ticket will wait at the rate at which its class leaves the queue now. */
export function estimateWaitMs(step: Step, ticket: Ticket): number {
  const queue = queueOf(step, ticket.record.info.service);
  const ahead = ticket.isLong ? queue.size : queue.short.size;
  if (ahead < MIN_AHEAD) return 0;
  const rate = ticket.isLong ? queue.allRate : queue.shortRate;
  return ahead / rate.perMs(step.nowMs);
}
