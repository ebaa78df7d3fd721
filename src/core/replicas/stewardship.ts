import type {DomainDocument} from './domain_document.js';
import type {
  DomainId,
  OperationId,
  OrderId,
  ReplicaId,
  VmId,
} from '../ids/index.js';

/** An order whose effect is not yet known. */
interface OutstandingOrder {
  readonly orderId: OrderId;
  readonly sentAtMs: number;
  /** Set when it was not answered: reports true after this time show what became of it. */
  settledAfterMs?: number;
}

/** What this node knows as steward of one fabric domain. */
export interface Stewardship {
  readonly domain: DomainId;
  /**
   * claiming: writes the steward key; reading: reads the document; taking over:
   * writes its fencing token; active: plans and orders.
   */
  phase: 'claiming' | 'reading' | 'taking-over' | 'active';
  /** The store call under way; there is at most one. */
  operationId?: OperationId;
  operation?: 'claim' | 'read-claim' | 'read' | 'write' | 'weights';
  /** The document that a write under way carries. */
  writing?: DomainDocument;
  document?: DomainDocument;
  version: number;
  /** Own token, once it is being written. */
  fencingToken: number;
  retryAtMs: number;
  /** No order to an engine without fencing before this time. */
  firstOrderAtMs: number;
  readonly orders: Map<VmId, OutstandingOrder>;
  /** Weight-store tokens granted so far to each planned replica. */
  readonly grants: Map<ReplicaId, number>;
  weightsFor?: ReplicaId;
  weightsAtMs: number;
  /** When this steward first saw each entry in its present state. */
  readonly since: Map<string, number>;
}
