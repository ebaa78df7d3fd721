import type {LeaseId, NodeId, OperationId} from '../ids/index.js';
import type {MembershipCall} from './membership_call.js';
import type {Peer} from './peer.js';
import type {StoreHealth} from './store_health.js';

/** Peers, and this node's own standing. */
export interface MembershipState {
  readonly peers: Map<NodeId, Peer>;
  /** Own start; orders the incarnations of this node. */
  startedAtMs: number;
  sequence: number;
  /** This node's record in the store. */
  leaseId?: LeaseId;
  leaseTtlMs: number;
  leaseGrantedAtMs: number;
  /** Until when the lease surely holds. */
  leaseSafeUntilMs: number;
  /** An evicted holder of this node's name may believe in its authority until then. */
  authorityFromMs: number;
  evictedTtlMs: number;
  /** Version of this node's record; 0 when it has none. */
  recordVersion: number;
  /** The record stands under the lease. */
  isRegistered: boolean;
  /** A later incarnation of this node was seen: this one does nothing any more. */
  isSuperseded: boolean;
  /** Grows when the node finds that it was paused; whatever was held under an older one is lost. */
  authorityEpoch: number;
  lastTickAtMs: number;
  lastEventAtMs: number;
  readonly calls: Map<OperationId, MembershipCall>;
  readonly store: StoreHealth;
  /** Store version up to which the node records are known. */
  watchedVersion?: number;
  /** The node records, or a peer's view, were read since the start or the last pause. */
  hasView: boolean;
  isRelay: boolean;
  nextLeaseAtMs: number;
  nextHeartbeatAtMs: number;
  nextListAtMs: number;
  nextWatchAtMs: number;
  nextJoinAtMs: number;
  /** Live nodes, this one too, in the order of their hashes. */
  ring: readonly NodeId[];
  isRingStale: boolean;
  /** Peers whose heartbeats this node watches, beyond a full mesh. */
  monitored: readonly NodeId[];
  /** Gossip that waits to be passed on at the end of this event. */
  readonly gossip: Set<NodeId>;
  /** Peers came, went or moved since the runtime was told. */
  arePeersStale: boolean;
  /** A drain was asked for; peers are told at once. */
  isLeaving: boolean;
  /** The lease was given up for good, after the last request. */
  isReleased: boolean;
}
