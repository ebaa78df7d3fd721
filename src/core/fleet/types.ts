import type {
  DomainId,
  ModelName,
  ReplicaId,
  ServiceName,
  VmId,
  ZoneId,
} from '../ids/index.js';

/** Stage of an engine's membership of a replica; `open` and `closing` are stages of the head. */
export type MembershipStage =
  'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** Place of an engine in a replica. */
export interface Membership {
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  /** 0 is the head, the only member that accepts requests. */
  readonly rank: number;
  readonly stage: MembershipStage;
}

/** The state that an engine last reported. */
export interface EngineRecord {
  readonly vmId: VmId;
  readonly service: ServiceName;
  /** `host:port`. */
  readonly address: string;
  readonly zone: ZoneId;
  readonly domain?: DomainId;
  /** Requests served at once; for model services, that of the cost model is used instead. */
  readonly slotCount: number;
  readonly isLeaving: boolean;
  /** Start time; identifies the incarnation of an engine, since ids are used again. */
  readonly bornAtMs: number;
  /** Models whose weights are in the engine's memory. */
  readonly models: readonly ModelName[];
  /** Models whose weights are staged on the VM's host. */
  readonly stagedModels: readonly ModelName[];
  readonly membership?: Membership;
  /** Time for which the engine was still cold when it wrote the entry; not necessarily a plausible one. Undefined: it does not say. */
  readonly coldLeftMs?: number;
  /** Rises with each entry that the engine writes in this incarnation. */
  readonly sequence: number;
  /** Store version of the last change of the entry: a `storeVersion`. */
  readonly revision: number;
}

/** A change of an engine's entry in the store: the new record, or undefined if the entry was removed. */
export interface EngineChange {
  readonly vmId: VmId;
  readonly revision: number;
  readonly engine?: EngineRecord;
}

/** A model that a service offers. */
export interface ModelSpec {
  readonly name: ModelName;
  /** Number of engines in one replica. */
  readonly size: number;
  /** Expected share of the engines' work for this model, 0 to 1. */
  readonly workShare: number;
  /** Factor on all times of a replica; above 1 is slower. */
  readonly pace: number;
  /** Time to load the weights. */
  readonly loadMs: number;
  /** Time to join a replica if the weights are staged on the host; replaces the load. */
  readonly warmUpMs: number;
}

/** Published cost model of a service's engines, for a replica of pace 1. */
export interface EngineCosts {
  /** Requests that a replica serves at once. */
  readonly slotCount: number;
  /** Duration of a step without sequences. */
  readonly stepMs: number;
  /** Added to each step by every sequence that generates output. */
  readonly stepMsPerSequence: number;
  /** Rate at which prompts are processed. */
  readonly readTokensPerMs: number;
  /** Steps in one pass; a stream sends an event at the end of each pass. */
  readonly stepsPerPass: number;
  /** Time that the head of a ready replica takes to open. */
  readonly formMs: number;
  /** Limit on the weight loads started per second. */
  readonly loadsPerS: number;
  /** Weight loads that run at full speed at the same time. */
  readonly concurrentLoads: number;
  readonly models: readonly ModelSpec[];
}

/** A replica as reported by its engines. */
export interface ReplicaView {
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly service: ServiceName;
  readonly domain?: DomainId;
  readonly head?: EngineRecord;
  /** Members by rank; a rank that no engine reports is missing. */
  readonly members: ReadonlyMap<number, EngineRecord>;
}
