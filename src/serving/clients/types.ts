/** The listeners whose connections are limited. */
export type ListenerName =
  'callers' | 'forwards' | 'ready' | 'directory' | 'documents' | 'metrics';

/** Why a connection of a client was closed, or its request refused. */
export type LimitReason =
  | 'requests-ahead'
  | 'connections'
  | 'head-bytes'
  | 'unread-answer'
  | 'unread-memory'
  | 'body-stalled'
  | 'body-memory';

/** Limits on what clients may take of the node's memory and descriptors. */
export interface ListenerLimits {
  /** Connections that each listener keeps open at the same time. */
  readonly connections: Readonly<Record<ListenerName, number>>;
  /** Requests in progress on a connection from which the node stops reading it. */
  readonly pausedRequests: number;
  /** Requests in progress on a connection above which it is closed. */
  readonly maxRequests: number;
  /** Requests in progress behind the first one of their connection, over all connections. */
  readonly maxRequestsBehind: number;
  /** Bytes without a complete head, or behind an answered request, after which a connection is closed. */
  readonly maxHeadBytes: number;
  /** Bodies of requests that are being received or running. */
  readonly bodyBytes: number;
  /** What small bodies may take besides. */
  readonly smallBodyBytes: number;
  /** Time without a byte of a body after which its request is refused. */
  readonly bodyStallMs: number;
  /** The same for a connection that leaves an answer unread. */
  readonly unreadMs: number;
  /** Answers that have been written and not read, over all connections. */
  readonly unreadBytes: number;
  /** Time without progress after which a body or an unread answer is ended when memory is short. */
  readonly pressureStallMs: number;
}
