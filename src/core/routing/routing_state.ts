import type {TargetId} from '../ids/index.js';

/** What this node knows of its own work on targets. */
export interface RoutingState {
  readonly inFlight: Map<TargetId, number>;
}
