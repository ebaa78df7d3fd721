import type {AttemptId, NodeId} from '../../ids/index.js';
import type {RequestRecord} from '../types.js';

/** A request that another node passes on to a target, because this node can't reach any. */
export interface ForwardRecord {
  readonly attemptId: AttemptId;
  readonly nodeId: NodeId;
  /** Identifies the process of the node; undefined if only relays report it. */
  readonly incarnation?: number;
  readonly sentAtMs: number;
  /** When the first event arrived; undefined before. */
  startedAtMs?: number;
  /** Time of the last event; of the dispatch before the first one. */
  progressAtMs: number;
  /** When the body ended with its connection, which tells nothing of its completeness until the node is heard again. */
  closedAtMs?: number;
  /** The response is being completed. */
  isFinished?: boolean;
}

/** Where a request came from that another node has passed on. */
export interface ForwardSource {
  readonly nodeId: NodeId;
  /** Earlier attempts of that node in which the request may have run. */
  readonly priorRunCount: number;
}

/** Requests that other nodes pass on for this one. */
export interface ForwardingState {
  readonly byAttempt: Map<AttemptId, RequestRecord>;
  /** Number of these requests, by node. */
  readonly inFlight: Map<NodeId, number>;
  /** Nodes that failed lately are avoided until then. */
  readonly avoidedUntilMs: Map<NodeId, number>;
}
