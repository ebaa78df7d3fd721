import type {OrganisationId} from '../ids/index.js';
import {TicketFifo} from './ticket_fifo.js';

/** Waiting requests of one organisation, with the tokens that it may still use in this round. */
export class OrganisationLane {
  readonly tickets = new TicketFifo();
  deficitTokens = 0;
  /** Number of queued tickets. */
  size = 0;

  constructor(readonly organisation: OrganisationId | undefined) {}
}
