import type {EngineRecord} from '../fleet/types.js';
import type {LoadDigest} from '../serving/types.js';
import type {
  DomainId,
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
} from '../ids/index.js';

/** An order to an engine. Each names the life of the replica that it is meant for. */
export type EngineOrder =
  | {
      readonly kind: 'join';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
      readonly model: ModelName;
      /** The first is the head. */
      readonly members: readonly VmId[];
    }
  | {
      readonly kind: 'open' | 'leave';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
    }
  | {
      /** Loads weights onto the VM's host, beside whatever the engine does. */
      readonly kind: 'stage';
      readonly model: ModelName;
    }
  | {
      /** The head ends what it has and takes nothing new. */
      readonly kind: 'close';
      readonly replicaId: ReplicaId;
      readonly epoch: number;
    };

/**
 * `joining`: never opened. `opening`: an open order went out, so the head may
 * serve. `open`: the head said so. `closing`: it ends its work, then leaves.
 * `leaving`: its members are free once the head is known to have left or ended.
 */
export type TrackPhase = 'joining' | 'opening' | 'open' | 'closing' | 'leaving';

/** A replica that the steward has planned or found. */
export interface ReplicaTrack {
  readonly key: string;
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly service: ServiceName;
  readonly domain?: DomainId;
  readonly model: ModelName;
  /** The first is the head. */
  readonly members: readonly VmId[];
  /** The life in which each member was when it was taken; a head that wasn't listed then may be missing. */
  readonly bornAtMs: ReadonlyMap<VmId, number>;
  /** A joining replica that is not ready by then is given up. */
  readonly dueAtMs: number;
  /** Undefined: this node has never known it. */
  headAddress?: string;
  /** The head said that it leaves: it may refuse connections and still end its work. */
  isHeadLeaving: boolean;
  /** The head said that it has ended its work. */
  isClosed: boolean;
  phase: TrackPhase;
  phaseSinceMs: number;
  cause?: string;
  /** Last sign of life of a head that is not known to be dead. */
  headSeenAtMs: number;
}

/** Answers of an engine to the steward's probes. */
export interface ProbeRecord {
  sentAtMs: number;
  answeredAtMs: number;
  silentInRow: number;
}

/** What a node does as steward of all replicas. */
export interface StewardState {
  /** Rises with each holder of the lease, and over all terms that engines name; undefined without the lease. */
  term?: number;
  /** As the store counts it. */
  leaseTerm?: number;
  leaseUntilMs: number;
  /** This steward has read the engines itself; before, it only heard of them. */
  hasReadEngines: boolean;
  epochCount: number;
  plannedAtMs: number;
  /** No plan is made before, since an engine follows a later steward. */
  pausedUntilMs: number;
  readonly tracks: Map<string, ReplicaTrack>;
  /**
   * Replicas whose head has left: their members are free though they still name
   * it. Holds the revision of the store up to which that is known.
   */
  readonly released: Map<string, number>;
  /** When each order was last sent, by engine and order. */
  readonly sentAtMs: Map<string, number>;
  readonly probes: Map<VmId, ProbeRecord>;
  /** Heads that peers are asked to look for. */
  readonly asks: Map<VmId, LoadDigest['asks'][number]>;
  /** Engines that reported to be slow, and when. */
  readonly slowEngines: Map<VmId, {pace: number; atMs: number}>;
  /** Last answer of any engine to this node. */
  engineAnsweredAtMs: number;
  /** Ends of loads of weights that are running, as expected. */
  readonly loadEndsMs: Map<VmId, number>;
  /** Domains whose free engines are kept for a model. */
  readonly reserved: Map<string, {model: ModelName; untilMs: number}>;
  loadStartsMs: number[];
  /** Since when each domain lacks engines that have the model's weights. */
  readonly coldSinceMs: Map<string, number>;
  /** Since when a model has had much less supply than another. */
  shortSinceMs?: number;
  hasTraffic: boolean;
}

/** Replicas of one domain that make room for one of another model. */
export interface ModelExchange {
  readonly domain: string;
  readonly closed: readonly ReplicaTrack[];
  /** Engines of the new replica that lack its weights. */
  readonly cold: readonly EngineRecord[];
}

/** How a member of a replica stands, as far as a node knows. */
export type MemberCondition = 'sound' | 'leaving' | 'not-joined' | 'lost';
