import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';
import {laneOf} from './lane_of.js';
import {queueOf} from './queue_of.js';

/** With fewer requests ahead, the drain rate is not a reliable estimate and the wait counts as 0. */
const MIN_AHEAD = 4;

/** Estimated wait of a ticket, by the requests ahead of it and the current dispatch rate of its class. */
export function estimateWaitMs(step: Step, ticket: Ticket): number {
  const {info} = ticket.record;
  const queue = queueOf(step, info.service);
  const lane = laneOf(step, info);
  const ahead = ticket.isLong
    ? queue.short.size + queue.long.countAhead(lane, info.priority)
    : queue.short.countAhead(lane, info.priority);
  if (ahead < MIN_AHEAD) return 0;
  const rate = ticket.isLong ? queue.allRate : queue.shortRate;
  return ahead / rate.perMs(step.nowMs);
}
