import type {LeaseId, NodeId, OperationId} from '../ids/index.js';
import type {MembershipCall} from './membership_call.js';
import type {Peer} from './peer.js';
import type {StoreHealth} from './store_health.js';

/** Peers and this node's own membership; times in milliseconds. */
export interface MembershipState {
  readonly peers: Map<NodeId, Peer>;
  /** Start of this process; orders the incarnations of this node. */
  startedAtMs: number;
  /** Sequence number of the last status that was sent. */
  sequence: number;
  /** Lease to which this node's record in the store is attached. */
  leaseId?: LeaseId;
  leaseTtlMs: number;
  leaseGrantedAtMs: number;
  /** Until when the lease certainly holds. */
  leaseSafeUntilMs: number;
  /** Until then, an evicted earlier holder of this node's name may still act on its lease. */
  authorityFromMs: number;
  /** Duration of the lease that is being revoked from the earlier holder. */
  evictedTtlMs: number;
  /** Version of this node's record; 0 when it has none. */
  recordVersion: number;
  /** Whether the record is attached to the lease. */
  isRegistered: boolean;
  /** Whether a later incarnation of this node was seen; this one holds no lease and reports itself as draining. */
  isSuperseded: boolean;
  /** Incremented when a pause of the process is detected; whatever was held under an older value is lost. */
  authorityEpoch: number;
  lastTickAtMs: number;
  lastEventAtMs: number;
  readonly calls: Map<OperationId, MembershipCall>;
  readonly store: StoreHealth;
  /** Store version up to which the node records were read. */
  watchedVersion?: number;
  /** Whether the node records, or a peer's list, were read since the start or the last pause. */
  hasView: boolean;
  isRelay: boolean;
  nextLeaseAtMs: number;
  nextHeartbeatAtMs: number;
  nextListAtMs: number;
  nextWatchAtMs: number;
  nextJoinAtMs: number;
  /** Live nodes including this one, in the order of their hashes. */
  ring: readonly NodeId[];
  isRingStale: boolean;
  /** Peers whose heartbeats this node monitors when there are too many nodes for a full mesh. */
  monitored: readonly NodeId[];
  /** Nodes to gossip about at the end of the current event. */
  readonly gossip: Set<NodeId>;
  /** Whether peers were added, removed or changed address since the last `setPeers` effect. */
  arePeersStale: boolean;
  /** Whether a drain was requested. */
  isLeaving: boolean;
  /** Whether the lease was released for good, after the last request had ended. */
  isReleased: boolean;
}
