import type {PlanReplica} from './plan_replica.js';
import type {PlanService} from './plan_service.js';

/** How a service stands against its file. */
export interface ServiceStanding {
  readonly service: PlanService;
  /** As the file states them, neither retiring nor draining. */
  readonly current: readonly PlanReplica[];
  /** Outdated or retiring ones. */
  readonly old: readonly PlanReplica[];
  /** Replicas that serve whole, old ones included. */
  serving: number;
  /** Replicas still to be found a place. */
  missing: number;
  /** No place was found for the missing ones. */
  isBlocked: boolean;
}
