import type {OrganisationId} from '../ids/index.js';
import type {Ticket} from './ticket.js';
import {OrganisationLane} from './organisation_lane.js';

/** Maximum rounds of one selection; bounds its time when a weight is tiny. */
const MAX_ROUNDS = 64;

/** Tokens that an organisation of weight 1 is granted per round. */
const QUANTUM_TOKENS = 1024;

/** Deficit round robin by tokens between organisations; first come, first served within one. */
export class FairQueue {
  private readonly lanes = new Map<
    OrganisationId | undefined,
    OrganisationLane
  >();
  /** Lanes that may have tickets; the first one is served next. */
  private readonly ring: OrganisationLane[] = [];

  constructor(private readonly weightOf: (id: OrganisationId) => number) {}

  /** Adds a ticket to a lane, in front if `first`; `undefined` is the single lane used without fairness. */
  push(id: OrganisationId | undefined, ticket: Ticket, first: boolean): void {
    let lane = this.lanes.get(id);
    if (!lane) {
      lane = new OrganisationLane(id);
      this.lanes.set(id, lane);
      this.ring.push(lane);
    }
    lane.size += 1;
    if (first) lane.tickets.pushFront(ticket);
    else lane.tickets.push(ticket);
  }

  /** Lanes with tickets in order of service, starting with the lane in turn, up to a limit. */
  candidates(limit: number): OrganisationLane[] {
    const first = this.laneInTurn();
    if (!first) return [];
    const others = this.ring.slice(1, limit);
    return [first, ...others.filter(lane => lane.tickets.peek())];
  }

  /** Dequeues a lane's first ticket and charges the lane for its estimated tokens. */
  take(lane: OrganisationLane): void {
    const ticket = lane.tickets.peek()!;
    lane.tickets.shift();
    lane.size -= 1;
    lane.deficitTokens -= ticket.estimatedTokens;
  }

  /** Number of queued tickets. */
  get size(): number {
    return this.ring.reduce((sum, lane) => sum + lane.size, 0);
  }

  /** Subtracts a ticket that was marked as no longer queued. */
  noteRemoved(id: OrganisationId | undefined): void {
    const lane = this.lanes.get(id);
    if (lane) lane.size -= 1;
  }

  /** Estimated requests dispatched before a new one of a lane, when lanes take turns by weight. */
  countAhead(id: OrganisationId | undefined): number {
    const turns = (this.lanes.get(id)?.size ?? 0) / this.weight(id);
    let ahead = 0;
    for (const lane of this.ring) {
      ahead += Math.min(lane.size, turns * this.weight(lane.organisation));
    }
    return ahead;
  }

  /** Advances the ring until a lane's deficit covers its first ticket. */
  private laneInTurn(): OrganisationLane | undefined {
    const limit = MAX_ROUNDS * this.ring.length;
    for (let steps = 0; steps <= limit; steps++) {
      const lane = this.ring[0];
      if (!lane) return undefined;
      const ticket = lane.tickets.peek();
      if (!ticket) {
        this.ring.shift();
        this.lanes.delete(lane.organisation);
        continue;
      }
      if (this.ring.length === 1) {
        lane.deficitTokens = Math.max(
          lane.deficitTokens,
          ticket.estimatedTokens,
        );
      }
      if (lane.deficitTokens >= ticket.estimatedTokens) return lane;
      this.advanceRing();
    }
    return this.ring[0];
  }

  /** Advances the ring to the next lane, which is granted its quantum. */
  private advanceRing(): void {
    this.ring.push(this.ring.shift()!);
    const next = this.ring[0]!;
    next.deficitTokens += QUANTUM_TOKENS * this.weight(next.organisation);
  }

  private weight(id: OrganisationId | undefined): number {
    return id === undefined ? 1 : this.weightOf(id);
  }
}
