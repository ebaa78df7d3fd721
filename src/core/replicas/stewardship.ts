import type {DomainDocument} from './domain_document.js';
import type {
  DomainId,
  OperationId,
  OrderId,
  ReplicaId,
  VmId,
} from '../ids/index.js';

/** An order whose effect no report has shown yet. */
interface OutstandingOrder {
  readonly orderId: OrderId;
  readonly sentAtMs: number;
  /** Set once the order was answered or timed out: only reports after this time show its effect. */
  settledAfterMs?: number;
}

/** A node's state as steward of one fabric domain. */
export interface Stewardship {
  readonly domain: DomainId;
  /**
   * claiming: writes the steward key; reading: reads the document; taking-over:
   * writes its fencing token to the document; active: plans and sends orders.
   */
  phase: 'claiming' | 'reading' | 'taking-over' | 'active';
  /** The store call in flight; there is at most one. */
  operationId?: OperationId;
  operation?: 'claim' | 'read-claim' | 'read' | 'write' | 'weights';
  /** The document that is being written. */
  writing?: DomainDocument;
  document?: DomainDocument;
  /** Store version of the document. */
  version: number;
  /** Own fencing token; 0 until it is being written. */
  fencingToken: number;
  retryAtMs: number;
  /** No order is sent to an engine without fencing before this time. */
  firstOrderAtMs: number;
  readonly orders: Map<VmId, OutstandingOrder>;
  /** Weight-store tokens granted so far to each planned replica. */
  readonly grants: Map<ReplicaId, number>;
  weightsFor?: ReplicaId;
  weightsAtMs: number;
  /** Time at which this steward first saw each entry in its current state. */
  readonly since: Map<string, number>;
}
