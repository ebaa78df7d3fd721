import type {DomainDocument} from './domain_document.js';
import type {DomainId, ReplicaId, ServiceName, TargetId} from '../ids/index.js';
import type {PlanAction} from './plan/types.js';
import type {PrefixWatch} from './prefix_watch.js';
import type {StewardLease} from './steward_lease.js';
import type {Stewardship} from './stewardship.js';

interface QueuedLoad {
  readonly replicaId: ReplicaId;
  readonly sinceMs: number;
}

/** The documents as last read, and what this node does as steward. */
export interface ReplicasState {
  readonly documents: Map<DomainId, DomainDocument>;
  /** The documents were current at this time. */
  confirmedAtMs: number;
  readonly targetsByDomain: Map<DomainId, Set<TargetId>>;
  readonly documentWatch: PrefixWatch;
  readonly stewardWatch: PrefixWatch;
  /** Since when each domain has been seen without steward. */
  readonly vacantSinceMs: Map<DomainId, number>;
  readonly lease: StewardLease;
  readonly stewardships: Map<DomainId, Stewardship>;
  /** Since when each planned step has been wanted. */
  wantedSinceMs: Map<string, number>;
  /** Since when each service has lacked whole replicas. */
  readonly lackingSinceMs: Map<ServiceName, number>;
  /** Planned steps that were wanted long enough. */
  actions: PlanAction[];
  /** Planned replicas of all domains, most urgent first. */
  loadQueue: readonly QueuedLoad[];
  /** How replicas are planned; `first-come` is a baseline for measurements. */
  planner: 'deficit-first' | 'first-come';
  /** Since when no engine at all has been heard. */
  cutOffSinceMs?: number;
  reconciledAtMs: number;
  plannedAtMs: number;
}
