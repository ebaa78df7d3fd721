import type {Incarnation, NodeId, ZoneId} from '../ids/index.js';

/** Status of a node as it reports it. */
interface Standing {
  readonly incarnation: Incarnation;
  /** Start of this incarnation; orders the incarnations of one node. */
  readonly startedAtMs: number;
  /** Orders the statuses of one incarnation; a higher one is newer. */
  readonly sequence: number;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  readonly controlAddress: string;
  readonly phase: 'starting' | 'serving' | 'draining';
  readonly configRevision: number;
  /** Requests queued on the node. */
  readonly queued: number;
  /** Requests running on the node. */
  readonly running: number;
}

/** Periodic status of the sender, which shows that it is alive. */
interface Heartbeat {
  readonly type: 'membership.heartbeat';
  readonly standing: Standing;
  /** Last sequence that the sender received from the receiver; 0 for none. */
  readonly heardSequence: number;
}

/** Requests from a seed or other peer the list of all its nodes. */
interface Join {
  readonly type: 'membership.join';
  readonly nodeId: NodeId;
}

/** Last status of a node that the sender has. */
interface NodeGossip {
  readonly nodeId: NodeId;
  readonly standing: Standing;
  /** Time since the last sign of life, received by the sender or reported to it. */
  readonly silentMs: number;
  readonly suspected: boolean;
}

/** Changes of status that spread from node to node, and the response to a join. */
interface Gossip {
  readonly type: 'membership.gossip';
  readonly nodes: readonly NodeGossip[];
}

/** Messages that keep the list of nodes. */
export type MembershipMessage = Heartbeat | Join | Gossip;
