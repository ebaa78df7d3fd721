import type {OrganisationId} from '../ids/index.js';
import type {Ticket} from './ticket.js';
import {DecayedRate} from './decayed_rate.js';
import {PriorityQueue} from './priority_queue.js';

/** Requests that wait for one service, by class. */
export class ServiceQueue {
  readonly short: PriorityQueue;
  readonly long: PriorityQueue;
  /** Long streams that run, in the order in which they became known as long. */
  readonly runningLong = new Set<Ticket>();
  /** Dispatches of short requests, and of all. */
  readonly shortRate = new DecayedRate();
  readonly allRate = new DecayedRate();

  constructor(weightOf: (id: OrganisationId) => number) {
    this.short = new PriorityQueue(weightOf);
    this.long = new PriorityQueue(weightOf);
  }

  get size(): number {
    return this.short.size + this.long.size;
  }

  /** Class of a ticket. */
  classOf(isLong: boolean): PriorityQueue {
    return isLong ? this.long : this.short;
  }
}
