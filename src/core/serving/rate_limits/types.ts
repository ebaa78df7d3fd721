import type {PeerKey} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** An engine's latest announcement of the requests that it takes from all nodes together. */
export interface EngineLimit {
  /** Identifies the incarnation that named it. */
  readonly bornAtMs: number;
  /** Requests per second; undefined: the engine has stopped naming a limit. */
  readonly perS?: number;
  /** When the engine said so, by this node's clock. */
  readonly atMs: number;
}

/** A limit in a digest. */
export interface LimitReport {
  readonly vmId: VmId;
  readonly bornAtMs: number;
  readonly perS?: number;
  /** Time since the engine said so. */
  readonly ageMs: number;
}

/** Number of recent sends or decisions, each weighted by an exponential decay. Counts of several nodes add up, and need no common window. */
export interface RecentCount {
  readonly count: number;
  /** Time at which the count held. */
  readonly atMs: number;
}

/** Recent sends of peers to one engine. */
export interface PeerSends {
  readonly byPeer: Map<PeerKey, RecentCount>;
  /** Sum over all peers. */
  total: RecentCount;
}

/** Whether this node may send to a limited engine in a slot of time. */
export interface SlotDecision {
  readonly slot: number;
  readonly isOpen: boolean;
  /** Slots in which it had a request for the engine. */
  readonly slots: RecentCount;
}

/** Rate limits of engines, and the requests that count against them. */
export interface RateLimitState {
  readonly limits: Map<VmId, EngineLimit>;
  readonly ownSends: Map<VmId, RecentCount>;
  readonly peerSends: Map<VmId, PeerSends>;
  readonly decisions: Map<VmId, SlotDecision>;
}
