import type {LeaseId, NodeId} from '../ids/index.js';
import type {Peer} from './peer.js';

/** Peers, and this node's own standing. */
export interface MembershipState {
  readonly peers: Map<NodeId, Peer>;
  /** This node's record in the store. */
  leaseId?: LeaseId;
  /** Until when the lease surely holds. */
  leaseSafeUntilMs: number;
  lastTickAtMs: number;
}
