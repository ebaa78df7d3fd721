import type {EngineRecord} from '../fleet/types.js';
import type {LoadDigest} from '../serving/types.js';
import type {
  DomainId,
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
} from '../ids/index.js';

/**
 * An order to an engine. Orders about a replica name it by id and epoch, so
 * that they never apply to a later replica of the same name.
 */
export type EngineOrder =
  | {
      readonly kind: 'join';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
      readonly model: ModelName;
      /** VM ids by rank; the first is the head. */
      readonly members: readonly VmId[];
    }
  | {
      readonly kind: 'open' | 'leave';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
    }
  | {
      /** Loads weights onto the VM's host while the engine keeps serving. */
      readonly kind: 'stage';
      readonly model: ModelName;
    }
  | {
      /** The head finishes its running requests and accepts no new ones. */
      readonly kind: 'close';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
    };

/**
 * `joining`: never opened. `opening`: an open order was sent, so the head may
 * already serve. `open`: the head reports that it serves. `closing`: the head
 * finishes its requests, then leaves. `leaving`: the members become free once
 * the head is known to have left or ended.
 */
export type TrackPhase = 'joining' | 'opening' | 'open' | 'closing' | 'leaving';

/** A replica that the steward manages: planned by it, or adopted from the engines' reports. */
export interface ReplicaTrack {
  readonly key: string;
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly service: ServiceName;
  readonly domain?: DomainId;
  readonly model: ModelName;
  /** VM ids by rank; the first is the head. */
  readonly members: readonly VmId[];
  /** Start time that identifies the incarnation of each member; lacks the head if the store did not list it when the replica was adopted. */
  readonly bornAtMs: ReadonlyMap<VmId, number>;
  /** Deadline for joining: a replica that is not ready by then is abandoned. */
  readonly joinDeadlineMs: number;
  /** Undefined if this node has never received the head's record. */
  headAddress?: string;
  /** The head announced that it is leaving: it may refuse connections while it still finishes its requests. */
  isHeadLeaving: boolean;
  /** The head reported that it has finished its requests. */
  isClosed: boolean;
  phase: TrackPhase;
  phaseSinceMs: number;
  cause?: string;
  /** Latest time at which the store proves the head to have been alive. */
  headSeenAtMs: number;
}

/** Results of the steward's probes of one engine. */
export interface ProbeRecord {
  /** -Infinity before the first probe. */
  sentAtMs: number;
  /** When the engine last answered, or accepted the connection; -Infinity if it never did. */
  answeredAtMs: number;
  /** Consecutive probes that were refused, or timed out without a connection. */
  unansweredCount: number;
}

/** Reservation of a domain's free engines for a model. */
export interface DomainReservation {
  readonly model: ModelName;
  readonly untilMs: number;
  /** Replicas that are expected to be formed from them. */
  readonly replicaCount: number;
}

/** State of the steward role: the node that holds the steward's lease manages all replicas. */
export interface StewardState {
  /** Rises with each holder of the lease, and above all terms found in engine records; undefined without the lease. */
  term?: number;
  /** Term of the lease as counted by the store; undefined without the lease. */
  leaseTerm?: number;
  /** End of the lease as last renewed; -Infinity without the lease. */
  leaseUntilMs: number;
  /** This steward has read the engines from the store in its term; before that, it only had them from peers. */
  hasReadEngines: boolean;
  /** Epochs issued in this term. */
  epochCount: number;
  /** When this node last planned; -Infinity if it never did. */
  plannedAtMs: number;
  /** Planning is suspended until then: another steward is active, or the store is being restored. */
  planningPausedUntilMs: number;
  readonly tracks: Map<string, ReplicaTrack>;
  /**
   * Replicas whose head has left: their members are free although their records
   * still name it. The value is the store revision up to which this is known.
   */
  readonly releasedReplicas: Map<string, number>;
  /** When each order was last sent, by `vmId/kind/subject`. */
  readonly sentAtMs: Map<string, number>;
  readonly probes: Map<VmId, ProbeRecord>;
  /** Heads that selected peers are requested to probe. */
  readonly probeRequests: Map<VmId, LoadDigest['probeRequests'][number]>;
  /** Engines whose probe responses report a high pace factor, and when they did. */
  readonly slowEngines: Map<VmId, {pace: number; atMs: number}>;
  /** Expected end of each weight load in progress. */
  readonly weightLoadEndsMs: Map<VmId, number>;
  /** Domains whose free engines are reserved for a model. */
  readonly reservedDomains: Map<string, DomainReservation>;
  /** Start times of recent weight loads, for the rate limit of the weight store. */
  weightLoadStartsMs: number[];
  /** Start of each wait for warm engines, by `domain/model`, and of each wait for the one missing engine, by `domain/model/one-short`. */
  readonly warmWaitSinceMs: Map<string, number>;
  /** Measured share of each model in the work; those of the configuration hold for models that are missing. */
  readonly workShares: Map<ModelName, number>;
  /** When the shares were last measured; -Infinity before. */
  sharesMeasuredAtMs: number;
  /** When a replica was last closed for another model; -Infinity for never. */
  reallocatedAtMs: number;
  /** Since when one model has had much less supply than another; undefined while balanced. */
  imbalancedSinceMs?: number;
  /** Callers have sent requests: weight loads are slow and limited from then on. */
  hasTraffic: boolean;
}

/** Replicas of one domain to close so that their engines can form a replica of another model. */
export interface ModelReallocation {
  readonly domain: string;
  readonly replicasToClose: readonly ReplicaTrack[];
  /** Engines of the new replica that first have to load its weights. */
  readonly coldEngines: readonly EngineRecord[];
}

/**
 * Condition of a member of a replica. `sound`: it is part of the replica.
 * `not-joined`: it is alive and reports another replica or none. `lost`: it has
 * ended or restarted, or is no longer listed.
 */
export type MemberCondition = 'sound' | 'leaving' | 'not-joined' | 'lost';
