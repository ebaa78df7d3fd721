import type {DispatchPolicy} from './dispatch_policy.js';
import type {TargetId} from '../ids/index.js';

/** What this node knows of its own work on targets. */
export interface RoutingState {
  policy: DispatchPolicy;
  readonly inFlight: Map<TargetId, number>;
}
