import type {OrganisationId} from '../ids/index.js';
import type {Ticket} from './ticket.js';
import {DecayedRate} from './decayed_rate.js';
import {PriorityQueue} from './priority_queue.js';

/** Waiting requests of one service, by class: short or long. */
export class ServiceQueue {
  readonly short: PriorityQueue;
  readonly long: PriorityQueue;
  /** Running long streams, in the order in which they were classified as long. */
  readonly runningLong = new Set<Ticket>();
  /** Dispatch rate of short requests. */
  readonly shortRate = new DecayedRate();
  /** Dispatch rate of all requests. */
  readonly allRate = new DecayedRate();

  constructor(weightOf: (id: OrganisationId) => number) {
    this.short = new PriorityQueue(weightOf);
    this.long = new PriorityQueue(weightOf);
  }

  get size(): number {
    return this.short.size + this.long.size;
  }

  /** Queue of the long or the short class. */
  classOf(isLong: boolean): PriorityQueue {
    return isLong ? this.long : this.short;
  }
}
