import type {OrganisationId} from '../ids/index.js';
import {TicketFifo} from './ticket_fifo.js';

/** One organisation's waiting requests, and the tokens it may still take in this round. */
export class OrganisationLane {
  readonly tickets = new TicketFifo();
  deficitTokens = 0;
  /** Tickets that wait. */
  size = 0;

  constructor(readonly organisation: OrganisationId | undefined) {}
}
