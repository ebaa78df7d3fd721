import type {NodeId, ServiceName} from '../../ids/index.js';

/** Arrivals and retries of one service over the retry budget's window. */
export interface RetryWindow {
  /** Arrivals in a ring of one-second buckets, indexed by `second % length`. */
  readonly requests: number[];
  /** Retries in buckets of the same layout. */
  readonly repeats: number[];
  /** Second of the newest bucket. */
  second: number;
}

/** Retries of a service in a node's window. */
export interface RetryCount {
  readonly service: ServiceName;
  readonly count: number;
}

/** A node's use of its part of a service's retry budget. */
export interface RetryUsage {
  /** Retries in the window, by this process and the one before it. */
  readonly used: number;
  /** Retries that may be in the window. */
  readonly allowed: number;
  /** Number of nodes that the constant allowance is divided by; 0 while this node has no part of it. */
  readonly nodeCount: number;
}

/** Why a request is not retried: no time or dispatches are left, the retry budget is used up, or another run could do harm. */
export type RetryDenial =
  | 'deadline'
  | 'dispatches'
  | 'budget'
  | 'crash-suspect'
  | 'may-have-run'
  | 'attempts';

/** The retries that a node last reported in a digest. */
export interface ReportedRetries {
  /** Identifies the process. */
  readonly incarnation: number;
  readonly atMs: number;
  /** Undefined if the node did not know those of the process before it. */
  readonly retries?: readonly RetryCount[];
}

/** The last report of a process that a node's current process has replaced. */
export interface Predecessor {
  /** Incarnation of the current process. */
  readonly successor: number;
  /** When the replaced process was last heard. */
  readonly heardAtMs: number;
  readonly retries: readonly RetryCount[];
}

/** A predecessor in a digest. */
export interface PredecessorEntry {
  readonly nodeId: NodeId;
  readonly successor: number;
  /** Time since the replaced process was last heard. */
  readonly ageMs: number;
  readonly retries: readonly RetryCount[];
}

/** State of the retry budget at one node. */
export interface RetryState {
  readonly windows: Map<ServiceName, RetryWindow>;
  /** What this node's earlier process used, as peers report it; undefined if unknown or none. */
  inherited?: {
    readonly heardAtMs: number;
    readonly counts: ReadonlyMap<ServiceName, number>;
  };
  /** The last report of each node. */
  readonly reported: Map<NodeId, ReportedRetries>;
  /** Replaced processes of other nodes. */
  readonly predecessors: Map<NodeId, Predecessor>;
}
