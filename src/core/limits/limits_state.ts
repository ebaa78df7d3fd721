import type {OrganisationId, ServiceName} from '../ids/index.js';
import type {TokenBucket} from './token_bucket.js';

/** Use of limits at this node. */
export interface LimitsState {
  readonly inFlight: Map<OrganisationId, number>;
  readonly rates: Map<OrganisationId, TokenBucket>;
  /** Retries that a service may still make. */
  readonly retries: Map<ServiceName, TokenBucket>;
  /** Serving nodes, this one included, and when they were counted. */
  nodeCount: number;
  nodesCountedAtMs: number;
}
