import type {PlanReplica} from './plan_replica.js';
import type {PlanService} from './plan_service.js';

/** Replicas of a service compared with those that its file requests. */
export interface ServiceStanding {
  readonly service: PlanService;
  /** Replicas as the file states them, neither retiring nor draining. */
  readonly current: readonly PlanReplica[];
  /** Outdated or retiring replicas. */
  readonly old: readonly PlanReplica[];
  /** Number of serving replicas without lost or leaving VMs, old ones included. */
  serving: number;
  /** Number of replicas still to be placed. */
  missing: number;
  /** Whether no room was found for the missing replicas. */
  isBlocked: boolean;
}
