import type {RequestRecord} from '../requests/types.js';
import type {Step} from '../state/types.js';
import type {Ticket} from './ticket.js';

/** Returns a request's ticket, or creates one with an estimate of its length. */
export function openTicket(step: Step, record: RequestRecord): Ticket {
  const {lengths, options, tickets} = step.state.admission;
  const {info} = record;
  const known = tickets.get(info.requestId);
  if (known) return known;
  const expected = lengths.expectedTokens(info);
  const ticket: Ticket = {
    record,
    estimatedTokens: Math.ceil(info.promptTokens + expected),
    isLong: options.shortFirst && expected >= lengths.longTokens(info.service),
    isQueued: false,
  };
  tickets.set(info.requestId, ticket);
  return ticket;
}
