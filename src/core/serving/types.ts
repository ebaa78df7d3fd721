import type {AnnouncementState} from './announcements/types.js';
import type {ExchangeState, PeerView, PeerLoad} from './peers/types.js';
import type {AccessConfig, Route} from '../access/types.js';
import type {
  EngineChange,
  EngineCosts,
  EngineRecord,
  ReplicaView,
} from '../fleet/types.js';
import type {
  AttemptId,
  Fingerprint,
  ModelName,
  NodeId,
  OrganisationId,
  RequestId,
  ServiceName,
  VmId,
  ZoneId,
} from '../ids/index.js';
import type {Random} from '../random/index.js';
import type {RestoreState} from './restore/types.js';
import type {StewardState} from '../steward/types.js';
import type {Verdict} from '../verdict/index.js';
import type {ServingEffect} from './effects.js';

/** A caller's request, read whole. */
export interface ServingRequest {
  readonly requestId: RequestId;
  /** The caller's own id of this request; targets echo it. */
  readonly callerId: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey?: string;
  /** How long the caller waits, from `arrivedAtMs`. */
  readonly patienceMs?: number;
  readonly arrivedAtMs: number;
  readonly model?: ModelName;
  readonly promptTokens: number;
  readonly fingerprint: Fingerprint;
}

/** One dispatch of a request to a target. */
export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly sentAtMs: number;
  /** Time to the first event that was expected at dispatch. */
  readonly expectedFirstMs: number;
  /** Prompt tokens that the target has yet to read for this attempt. */
  readonly promptTokens: number;
  hasStarted: boolean;
  progressAtMs: number;
}

/** A request from its arrival to its final answer. */
export interface RequestRecord {
  readonly request: ServingRequest;
  readonly route: Route;
  readonly service: ServiceName;
  readonly pool: string;
  readonly organisationId?: OrganisationId;
  readonly priority: number;
  readonly goalAtMs: number;
  /** The final answer is due by then. */
  readonly giveUpAtMs: number;
  /** A request that waits is turned away then. */
  holdUntilMs: number;
  /** Since when it waits for a target, here. */
  waitingSinceMs: number;
  readonly tried: Set<VmId>;
  verdict: Verdict;
  attempt?: AttemptRecord;
  /** Targets at which the request may have run. */
  runCount: number;
  /** Sends of any kind, those that were turned away included. */
  sendCount: number;
  /** Events, or the answer, reached the caller. */
  hasAnswer: boolean;
}

/** A target that takes requests: a replica's head, or an engine of an application service. */
export interface ServingTarget {
  readonly vmId: VmId;
  readonly engine: EngineRecord;
  readonly slotCount: number;
  /** Factor on the published times. */
  readonly pace: number;
  /** Present for model services. */
  readonly costs?: EngineCosts;
  readonly replica?: ReplicaView;
}

/** The best target of a request, and whether it has room. */
export interface Placement {
  readonly target: ServingTarget;
  readonly firstMs: number;
  readonly inFlight: number;
  /** The prompt can be read without stretching the pauses of streams there. */
  readonly fits: boolean;
  readonly hasRoom: boolean;
  /** No slot is free, but the target's own queue has room. */
  readonly canQueue: boolean;
  readonly isSuspect: boolean;
}

/** What this node knows of a target from its own requests. */
export interface TargetLoad {
  inFlight: number;
  /** Prompt tokens of attempts without first event. */
  unreadTokens: number;
  progressAtMs: number;
  /** Passed over until then, while others can take the work. */
  suspectUntilMs: number;
  failuresInRow: number;
  /** Mean pause between events of a stream, over the expected one. */
  slowness: number;
  /** Pauses that the mean is made of. */
  pauseCount: number;
}

/** Arrivals and repeats of one service in the last seconds. */
export interface RepeatWindow {
  /** One bucket a second, by `second % length`. */
  readonly requests: number[];
  readonly repeats: number[];
  second: number;
}

/** A target whose connections broke, until it is known whether it has ended. */
export interface CrashCheck {
  readonly bornAtMs: number;
  readonly atMs: number;
  readonly fingerprints: Set<Fingerprint>;
}

/** A request that was running at targets that were lost. */
export interface CrashSuspect {
  losses: number;
  untilMs: number;
  readonly lostAt: Set<VmId>;
}

/** Bounds that the deployment sets. */
export interface ServingBounds {
  /** Longest age of the proof that the configuration is current; undefined: no limit. */
  readonly accessProofMs?: number;
  readonly repeatRatio: number;
  readonly repeatSlack: number;
  readonly repeatWindowMs: number;
  /** From SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** How long a replica with a lost member stands still before its head gives up. */
  readonly stallMs: number;
  readonly loadWindowMs: number;
  /** How long the store lists an engine after its last sign of life. */
  readonly listingMs: number;
}

/** A node's id; `zone/` and its name for the sum of a zone; `fleet` for the sum of all. */
export type PeerKey = NodeId | `zone/${string}` | 'fleet';

/** All that a node knows. Owned by the reducer; others only read it. */
export interface ServingState {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  readonly callerAddress: string;
  /** UDP, for digests. */
  readonly peerAddress: string;
  /** Processor time that this VM has a second, in cores. */
  readonly coreCount: number;
  readonly exchange: ExchangeState;
  readonly bounds: ServingBounds;
  /** The store's returns from copies. */
  readonly restore: RestoreState;
  readonly random: Random;
  idCounter: number;
  readonly life: number;
  config?: AccessConfig;
  /** The configuration was the newest then, as the store told this node or a peer. */
  configProvenAtMs: number;
  /** Whether the proof was young enough when it was last looked at. */
  wasAccessProven: boolean;
  /** The same, as the store told this node itself. */
  configReadAtMs: number;
  /** The engines were known as the store listed them then, as it told this node. */
  fleetReadAtMs: number;
  /** The same, as the store told this node or the steward. */
  fleetKnownAtMs: number;
  /** Until then engines that the store lists no more are kept. */
  holdRemovalsUntilMs: number;
  /** Removals that are held, by the revision at which the store lacked the engine. */
  readonly heldRemovals: Map<VmId, number>;
  engineCount: number;
  revisionSum: number;
  /** Since when the engines differ from those that the steward knows. */
  fleetUnlikeSinceMs?: number;
  engines: Map<VmId, EngineRecord>;
  /** Last records of engines that the store no longer lists: they may live on. */
  readonly departed: Map<
    VmId,
    Pick<EngineRecord, 'address' | 'bornAtMs' | 'sequence' | 'revision'> & {
      atMs: number;
    }
  >;
  /** When a node was last heard for the first time. */
  newPeerAtMs: number;
  /** What this node found when the steward asked it to look for engines. */
  readonly opinions: Map<VmId, {isSilent: boolean; atMs: number}>;
  /** When this node last looked for an engine for the steward. */
  readonly lookedAtMs: Map<VmId, number>;
  /** Revision of the last change of each engine, those that are gone included. */
  readonly engineRevisions: Map<VmId, number>;
  /** Changes that the steward passes on to peers. */
  recentChanges: {readonly change: EngineChange; readonly atMs: number}[];
  isFleetKnown: boolean;
  fleetRevision: number;
  fleetChangedAtMs: number;
  /** Replicas and targets lag behind the engines. */
  areTargetsStale: boolean;
  replicas: Map<string, ReplicaView>;
  targetsByPool: Map<string, ServingTarget[]>;
  targets: Map<VmId, ServingTarget>;
  /** Engines that this node or a steward found to be lost, with the life that was lost. */
  readonly lostEngines: Map<VmId, {bornAtMs: number; atMs: number}>;
  /** What engines say of themselves in their answers. */
  readonly announcements: AnnouncementState;
  readonly loads: Map<VmId, TargetLoad>;
  /** Who told what, by the nodes whose requests it counts. */
  readonly peers: Map<PeerKey, PeerView>;
  readonly peerLoads: Map<VmId, PeerLoad>;
  /** When the first event came. */
  startedAtMs?: number;
  /** Peers that the store lists. */
  registeredPeers: number;
  /** Longest patience seen of callers, by route: what one has less has passed before. */
  readonly patienceMs: Map<string, number>;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly byAttempt: Map<AttemptId, RequestRecord>;
  readonly waiting: Map<string, RequestRecord[]>;
  readonly repeatWindows: Map<ServiceName, RepeatWindow>;
  /** Targets whose connections broke, and what they ran. */
  readonly crashChecks: Map<VmId, CrashCheck>;
  readonly crashSuspects: Map<Fingerprint, CrashSuspect>;
  /** Set from the first signal to leave. */
  leavingSinceMs?: number;
  hasExited: boolean;
  readonly steward: StewardState;
}

/** One run of the reducer. */
export interface ServingStep {
  readonly state: ServingState;
  readonly nowMs: number;
  readonly effects: ServingEffect[];
}

export type {DigestReceiver, ServingEffect, RefusalReason} from './effects.js';
export type {ServingEvent, AttemptFault} from './events.js';
export type * from './peers/types.js';
