import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** What a node says of itself. */
interface Standing {
  readonly incarnation: Incarnation;
  /** Start of this incarnation; orders the incarnations of one node. */
  readonly startedAtMs: number;
  readonly sequence: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly phase: 'starting' | 'serving' | 'draining';
  readonly configRevision: number;
  /** Requests queued and running here. */
  readonly queued: number;
  readonly running: number;
}

/** A peer's sign of life. */
interface Heartbeat {
  readonly type: 'membership.heartbeat';
  readonly standing: Standing;
  /** Last sequence that the sender has of the receiver; 0 for none. */
  readonly heardSequence: number;
}

/** Asks a seed peer, or any other, for all nodes that it knows. */
interface Join {
  readonly type: 'membership.join';
  readonly nodeId: NodeId;
}

/** A node as the sender knows it. */
interface NodeGossip {
  readonly nodeId: NodeId;
  readonly standing: Standing;
  /** Since the sender, or the sender's source, heard of it. */
  readonly silentMs: number;
  readonly suspected: boolean;
}

/** Changes of standing that spread from node to node, and the answer to a join. */
interface Gossip {
  readonly type: 'membership.gossip';
  readonly nodes: readonly NodeGossip[];
}

/** Messages of the membership area. */
export type MembershipMessage = Heartbeat | Join | Gossip;
