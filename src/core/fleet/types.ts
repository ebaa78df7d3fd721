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
  /** 0 is the head, which alone takes requests. */
  readonly rank: number;
  readonly stage: MembershipStage;
}

/** What an engine last said of itself. */
export interface EngineRecord {
  readonly vmId: VmId;
  readonly service: ServiceName;
  readonly address: string;
  readonly zone: ZoneId;
  readonly domain?: DomainId;
  readonly slotCount: number;
  readonly isLeaving: boolean;
  /** Tells one life of an engine from the next under the same id. */
  readonly bornAtMs: number;
  /** Models that are in the engine's memory. */
  readonly models: readonly ModelName[];
  /** Models whose weights are on the VM's host. */
  readonly stagedModels: readonly ModelName[];
  readonly membership?: Membership;
  /** Rises with each entry that the engine writes in this life. */
  readonly sequence: number;
  /** Of the store, at the last change of the entry: a `storeVersion`. */
  readonly revision: number;
}

/** An engine's entry as it stands after a change; without record it is gone. */
export interface EngineChange {
  readonly vmId: VmId;
  readonly revision: number;
  readonly engine?: EngineRecord;
}

/** A model that a service offers. */
export interface ModelSpec {
  readonly name: ModelName;
  /** Engines of one replica. */
  readonly size: number;
  /** Part of the engines' work that was expected of this model, 0 to 1. */
  readonly workShare: number;
  /** Factor on all times of a replica. */
  readonly pace: number;
  readonly loadMs: number;
  readonly warmUpMs: number;
}

/** Published cost model of a service's engines, for one replica of pace 1. */
export interface EngineCosts {
  readonly slotCount: number;
  readonly stepMs: number;
  readonly stepMsPerSequence: number;
  readonly readTokensPerMs: number;
  readonly stepsPerPass: number;
  readonly formMs: number;
  readonly loadsPerS: number;
  readonly concurrentLoads: number;
  readonly models: readonly ModelSpec[];
}

/** A replica as the engines report it. */
export interface ReplicaView {
  readonly replicaId: ReplicaId;
  readonly epoch: number;
  readonly service: ServiceName;
  readonly domain?: DomainId;
  readonly head?: EngineRecord;
  /** Members by rank; a rank that no engine reports is missing. */
  readonly members: ReadonlyMap<number, EngineRecord>;
}
