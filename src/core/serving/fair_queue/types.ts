import type {AccessConfig} from '../../access/types.js';
import type {OrganisationId} from '../../ids/index.js';
import type {RecentCount} from '../rate_limits/types.js';

/** Recently admitted work of one organisation in one pool, in a digest. */
export interface WorkRow {
  readonly pool: string;
  readonly organisationId: OrganisationId;
  /** Decaying count of admitted tokens. */
  readonly tokens: number;
}

/** Work that peers admitted for one organisation. */
export interface PeerWork {
  /** By the key of the digest that reported it. */
  readonly byPeer: Map<string, RecentCount>;
  /** Sum over all peers. */
  total: RecentCount;
}

/** Arrivals and dispatches of one priority at this node. */
export interface PriorityUse {
  arrivals: RecentCount;
  dispatches: RecentCount;
  tokens: RecentCount;
}

/** The organisations that use a pool, and what it serves. */
export interface PoolWork {
  /** Tokens that this node admitted. */
  readonly own: Map<OrganisationId, RecentCount>;
  readonly peers: Map<OrganisationId, PeerWork>;
  /** All dispatches of this node, and when the count began. */
  dispatches: RecentCount;
  readonly countedSinceMs: number;
  readonly byPriority: Map<number, PriorityUse>;
  /** Tokens per unit of weight of an average active organisation, as of the last ordering of the queue. */
  levelTokens: number;
  /** Until then the capacity is taken by waiting requests and by refused ones that were given a time. */
  bookedUntilMs: number;
  /** The most over-served organisation in the log, and when it was logged. */
  overServed?: OrganisationId;
  overServedLoggedAtMs: number;
}

/** Work by pool and organisation. */
export interface FairQueueState {
  /** The configuration that `weights` is derived from. */
  config?: AccessConfig;
  /** Weights of the organisations; undefined while the mechanism is disabled. */
  weights?: ReadonlyMap<OrganisationId, number>;
  readonly pools: Map<string, PoolWork>;
  /** Rows of this node's last digests, by `sentAtMs`: a relay's sum includes one of them. */
  readonly sentRows: Map<number, readonly WorkRow[]>;
  /** When decayed counts were last removed. */
  expiredAtMs: number;
}
