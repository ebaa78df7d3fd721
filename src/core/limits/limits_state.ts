import type {OrganisationId, ServiceName} from '../ids/index.js';
import type {TokenBucket} from './token_bucket.js';

/** Usage of the limits at this node. */
export interface LimitsState {
  /** Requests in flight by organisation. */
  readonly inFlight: Map<OrganisationId, number>;
  /** Token bucket of each organisation's request rate. */
  readonly rates: Map<OrganisationId, TokenBucket>;
  /** Retry budget of each service. */
  readonly retries: Map<ServiceName, TokenBucket>;
  /** Number of serving nodes, this one included. */
  nodeCount: number;
  /** When `nodeCount` was last determined. */
  nodesCountedAtMs: number;
}
