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

/** The documents as last read, and this node's state as a steward; times in milliseconds. */
export interface ReplicasState {
  readonly documents: Map<DomainId, DomainDocument>;
  /** Latest time at which the documents are known to have been current. */
  confirmedAtMs: number;
  readonly targetsByDomain: Map<DomainId, Set<TargetId>>;
  readonly documentWatch: PrefixWatch;
  readonly stewardWatch: PrefixWatch;
  /** Since when each domain has had no steward. */
  readonly vacantSinceMs: Map<DomainId, number>;
  readonly lease: StewardLease;
  readonly stewardships: Map<DomainId, Stewardship>;
  /** Since when consecutive plans have contained each step, by its key. */
  wantedSinceMs: Map<string, number>;
  /** Since when each service has been short of intact replicas. */
  readonly lackingSinceMs: Map<ServiceName, number>;
  /** Steps that consecutive plans have contained for long enough. */
  actions: PlanAction[];
  /** Planned replicas of all domains that wait to load, most urgent first. */
  loadQueue: readonly QueuedLoad[];
  /** Planner in use; `first-come` is a baseline for measurements. */
  planner: 'deficit-first' | 'first-come';
  /** Since when no engine at all has reported to this node. */
  cutOffSinceMs?: number;
  reconciledAtMs: number;
  plannedAtMs: number;
}
