import type {DispatchPolicy} from './dispatch_policy.js';
import type {PrefixIndex} from './prefix_index.js';
import type {ServiceName, TargetId} from '../ids/index.js';
import type {ServicePool} from './service_pool.js';
import type {TargetLoad} from './target_load.js';

/** This node's view of the load on targets, and the policy that selects among them. */
export interface RoutingState {
  policy: DispatchPolicy;
  readonly loads: Map<TargetId, TargetLoad>;
  readonly pools: Map<ServiceName, ServicePool>;
  readonly prefixes: PrefixIndex;
}
