import type {Ticket} from './ticket.js';

/** Consumed items from which the array is compacted. */
const COMPACT_AFTER_ITEMS = 64;

/** First-in, first-out queue with lazy removal: tickets that are no longer queued are skipped. */
export class TicketFifo {
  private items: Ticket[] = [];
  private head = 0;
  /** Tickets put at the front, ahead of `items`; the last one added is first. */
  private readonly front: Ticket[] = [];

  push(ticket: Ticket): void {
    this.items.push(ticket);
  }

  pushFront(ticket: Ticket): void {
    this.front.push(ticket);
  }

  /** Returns the first queued ticket without removing it; drops those no longer queued. */
  peek(): Ticket | undefined {
    while (this.front.length > 0) {
      const ticket = this.front.at(-1)!;
      if (ticket.isQueued) return ticket;
      this.front.pop();
    }
    while (this.head < this.items.length) {
      const ticket = this.items[this.head]!;
      if (ticket.isQueued) return ticket;
      this.head += 1;
    }
    this.compact();
    return undefined;
  }

  /** Removes the ticket that `peek` returned. */
  shift(): void {
    if (this.front.length > 0) this.front.pop();
    else this.head += 1;
    this.compact();
  }

  private compact(): void {
    if (this.head < COMPACT_AFTER_ITEMS || this.head * 2 < this.items.length)
      return;
    this.items = this.items.slice(this.head);
    this.head = 0;
  }
}
