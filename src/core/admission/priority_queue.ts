import type {OrganisationId} from '../ids/index.js';
import type {OrganisationLane} from './organisation_lane.js';
import type {Ticket} from './ticket.js';
import {FairQueue} from './fair_queue.js';

interface Candidate {
  readonly ticket: Ticket;
  /** Removes the ticket from the queue. */
  readonly take: () => void;
}

/** Fair queues by priority; larger priorities are served first. */
export class PriorityQueue {
  private readonly levels = new Map<number, FairQueue>();
  /** Priorities in use, largest first. */
  private order: number[] = [];
  size = 0;

  constructor(private readonly weightOf: (id: OrganisationId) => number) {}

  /** Adds a ticket at its request's priority, in front of its lane if `first`. */
  push(lane: OrganisationId | undefined, ticket: Ticket, first: boolean): void {
    const {priority} = ticket.record.info;
    let level = this.levels.get(priority);
    if (!level) {
      level = new FairQueue(this.weightOf);
      this.levels.set(priority, level);
      this.order = [...this.levels.keys()].sort((a, b) => b - a);
    }
    level.push(lane, ticket, first);
    this.size += 1;
  }

  /** Yields first tickets in order of service, one per organisation, up to a limit. */
  *candidates(limit: number): Generator<Candidate> {
    let left = limit;
    for (const priority of this.order) {
      const level = this.levels.get(priority)!;
      for (const lane of level.candidates(left)) {
        left -= 1;
        const ticket = lane.tickets.peek()!;
        yield {ticket, take: () => this.take(level, lane)};
      }
      if (left <= 0) return;
    }
  }

  /** Subtracts a ticket that was marked as no longer queued. */
  noteRemoved(lane: OrganisationId | undefined, {record}: Ticket): void {
    this.levels.get(record.info.priority)!.noteRemoved(lane);
    this.size -= 1;
  }

  /** Estimated requests dispatched before a new one of a lane and priority. */
  countAhead(lane: OrganisationId | undefined, priority: number): number {
    let ahead = 0;
    for (const other of this.order) {
      const level = this.levels.get(other)!;
      if (other === priority) return ahead + level.countAhead(lane);
      if (other > priority) ahead += level.size;
    }
    return ahead;
  }

  private take(level: FairQueue, lane: OrganisationLane): void {
    level.take(lane);
    this.size -= 1;
  }
}
