import type {CallerTimeouts} from './caller_timeouts/types.js';
import type {AnnouncementState} from './announcements/types.js';
import type {ColdnessState} from './coldness/types.js';
import type {ClosedBody} from './closes/types.js';
import type {CrashState} from './crashes/types.js';
import type {EvacuationState} from './evacuation/types.js';
import type {FairQueueState} from './fair_queue/types.js';
import type {FleetSizeState} from './fleet_size/types.js';
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
  PromptPartId,
  RequestId,
  ServiceName,
  VmId,
  ZoneId,
} from '../ids/index.js';
import type {Random} from '../random/index.js';
import type {RetryState} from './retries/types.js';
import type {
  ForwardRecord,
  ForwardSource,
  ForwardingState,
} from './forwarding/types.js';
import type {Run} from './hedges/types.js';
import type {PaceState} from './pace/types.js';
import type {RateLimitState} from './rate_limits/types.js';
import type {ReachabilityState} from './reachability/types.js';
import type {RestoreState} from './restore/types.js';
import type {StewardState} from '../steward/types.js';
import type {Verdict} from '../verdict/index.js';
import type {ServingEffect} from './effects.js';
import type {SignRecord} from './silence/types.js';

/** A caller's request with its body fully received. */
export interface ServingRequest {
  readonly requestId: RequestId;
  /** Id that the caller gave the request; targets return it in their responses. */
  readonly callerId: string;
  readonly host: string;
  readonly path: string;
  readonly apiKey?: string;
  /** Time-out that the caller set, counted from `arrivedAtMs`; undefined: none sent. */
  readonly callerTimeoutMs?: number;
  readonly arrivedAtMs: number;
  readonly model?: ModelName;
  readonly promptTokens: number;
  /** Parts of the prompt that other requests may share, in order. */
  readonly sharedPartIds: readonly PromptPartId[];
  /** Identifies the request's content, so that one that crashes targets is recognised when it is sent again. */
  readonly fingerprint: Fingerprint;
  /** The node that passed the request on, if the caller did not send it to this one. */
  readonly forwarded?: ForwardSource;
}

/** One dispatch of a request to a target, until its response ends or it fails. */
export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  /** Identifies the incarnation of the engine. */
  readonly bornAtMs: number;
  /** `host:port`. */
  readonly address: string;
  readonly sentAtMs: number;
  /** Estimate at dispatch of the time to the first event. */
  readonly expectedFirstMs: number;
  /** The target was cold at the dispatch. */
  readonly isCold?: boolean;
  /** Prompt tokens that the target processes for this attempt. */
  readonly promptTokens: number;
  /** When the first event arrived; undefined before. */
  startedAtMs?: number;
  /** The target went on after the first event. */
  hasSurvived: boolean;
  /** Time of the last event; of the dispatch before the first one. */
  progressAtMs: number;
  /** It counts as a retry. */
  readonly isRetry: boolean;
  /** Its silence has put the path to the target in doubt. */
  hasDoubtedPath: boolean;
  /** The caller has not read the response all the time, so that events may be older than their arrival. */
  isDelayed?: boolean;
  /** Times of the last events, while a body that the target closed waits for evidence. */
  recentProgressAtMs?: number[];
  /** The body has ended with its connection, and may be incomplete. */
  closed?: ClosedBody;
}

/** State of a request from its arrival to its final response. */
export interface RequestRecord {
  readonly request: ServingRequest;
  readonly route: Route;
  readonly service: ServiceName;
  /** Key of the targets that can serve it. */
  readonly pool: string;
  readonly organisationId?: OrganisationId;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The first event is on time until then. */
  readonly goalAtMs: number;
  /** Deadline of the final response; the request times out then. */
  readonly deadlineAtMs: number;
  /** A request that is still waiting for a target is refused at this time. */
  waitDeadlineAtMs: number;
  /** Random number, 0 to 1, that decides whether it may wait for targets that limit their requests; drawn when first needed. */
  waitDraw?: number;
  /** When it last joined this node's queue. */
  waitingSinceMs: number;
  /** Targets that it was sent to; it is not sent to one of them twice. */
  readonly triedTargets: Set<VmId>;
  /** Those of them that refused it without running it, and when. */
  readonly refusedAtMs: Map<VmId, number>;
  /** An attempt at a cold engine failed. */
  hasFailedCold?: boolean;
  /** Whether it may have run at a target so far. */
  verdict: Verdict;
  attempt?: AttemptRecord;
  /** Another node passes the request on; there is no current attempt of this node then. */
  forward?: ForwardRecord;
  /** An earlier run that fell silent. It goes on beside the current one until either delivers an event. */
  silentRun?: Run;
  /** Nodes that it was sent to, to be passed on. */
  readonly triedPeers: Set<NodeId>;
  /** Attempts in which the request may have run. */
  possibleRunCount: number;
  /** All dispatches, including those that a target refused without running the request. */
  dispatchCount: number;
  /** Dispatches that reached a target, those of earlier nodes included; further ones are retries. */
  arrivalCount: number;
  /** The caller has received at least one event of a stream. */
  hasPartialResponse: boolean;
}

/** A target that accepts requests: the head of a replica, or an engine of an application service. */
export interface ServingTarget {
  readonly vmId: VmId;
  readonly engine: EngineRecord;
  readonly slotCount: number;
  /** Factor on the published times of the cost model. */
  readonly pace: number;
  /** Cost model; present for model services only. */
  readonly costs?: EngineCosts;
  /** Present for model services only. */
  readonly replica?: ReplicaView;
}

/** The target selected for a request, and its capacity for it. */
export interface Placement {
  readonly target: ServingTarget;
  /** Estimated time to the first event. */
  readonly firstEventMs: number;
  /** Requests of all nodes at the target. */
  readonly inFlight: number;
  /** The target can process the prompt without delaying the events of its running streams. */
  readonly hasPromptCapacity: boolean;
  /** A slot is free and the prompt can be processed. */
  readonly hasRoom: boolean;
  /** A slot is free, or the target's own queue has room. */
  readonly canQueue: boolean;
  /** The target failed or stalled recently. */
  readonly isSuspect: boolean;
}

/** Load and health of one target, from the requests that this node sent there. */
export interface TargetLoad extends SignRecord {
  /** Attempts that have had no event yet. */
  unstartedCount: number;
  /** Prompt tokens of attempts that have had no event yet. */
  unreadTokens: number;
  /** Last event of any stream at the target; -Infinity for none. */
  progressAtMs: number;
  /** Until this time the target is used only when no other one can take the request. */
  suspectUntilMs: number;
  consecutiveFailures: number;
  /** When a body of the target last ended with its connection; -Infinity for none. */
  closedAtMs: number;
  /** When a connection of the target was last seen to cut a stream off; -Infinity for none. */
  brokenAtMs: number;
  /** Moving average of the measured gap between events, divided by the expected gap. */
  gapRatio: number;
  /** Number of gaps in the average. */
  gapCount: number;
}

/** Limits taken from the deployment's settings. */
export interface ServingBounds {
  /** Requests are refused when the proof that the configuration is current is older; undefined: no limit. */
  readonly accessProofMs?: number;
  /** Retries allowed per arrived request. */
  readonly repeatRatio: number;
  /** Retries that the whole fleet may make per window in addition to the ratio. */
  readonly repeatSlack: number;
  /** Window of the retry budget. */
  readonly repeatWindowMs: number;
  /** Time from SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** How long an engine serves at least after it has reported that it leaves; 0 by default. */
  readonly drainMs?: number;
  /** How long a replica that lost a member stalls before its head fails its requests. */
  readonly stallMs: number;
  /** Window over which loads of model weights are rate-limited. */
  readonly loadWindowMs: number;
  /** How long the store keeps an engine's entry after its last heartbeat. */
  readonly listingMs: number;
  /** Organisations in the configuration from which pools that are short of capacity are shared fairly; 2 by default. */
  readonly minOrganisations?: number;
  /** False: no target starts at a learned pace, whatever its service says. */
  readonly learnsPace?: boolean;
  /** Time within which an evacuated zone gets no more requests; undefined: zones can't be evacuated. */
  readonly evacuateMs?: number;
  /** Requests that may reach a cold engine in a second, from all nodes together: this factor on the rate of its service, plus the tolerance. Undefined: cold engines are not limited. */
  readonly coldOvershoot?: number;
  readonly coldTolerance?: number;
}

/** Key of a digest by what it covers: a node's id, `zone/` and a zone's name, or `fleet` for all nodes. */
export type PeerKey = NodeId | `zone/${string}` | 'fleet';

/** State of a serving node. Only the reducer changes it; other code reads it. */
export interface ServingState {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  /** Address that callers connect to, `host:port`. */
  readonly callerAddress: string;
  /** UDP address for digests, `host:port`. */
  readonly peerAddress: string;
  /** Processor capacity of this VM, in cores. */
  readonly coreCount: number;
  readonly exchange: ExchangeState;
  readonly fleetSize: FleetSizeState;
  /** The whole system was started for the first time, so there was no traffic before this process. */
  readonly isFirstStart: boolean;
  readonly bounds: ServingBounds;
  /** Tracks restores of the store from a backup. */
  readonly restore: RestoreState;
  /** Zones that the operator has evacuated. */
  readonly evacuation: EvacuationState;
  readonly random: Random;
  /** Makes the ids of attempts unique. */
  idCounter: number;
  /** Random number of this process incarnation; digests carry it. */
  readonly incarnation: number;
  config?: AccessConfig;
  /** Last time at which a read of the store, by this node or a peer, proved that the configuration is the newest. */
  configProvenAtMs: number;
  /** Whether the proof was recent enough at the last check; detects changes for the log. */
  wasAccessProven: boolean;
  /** Last time at which a read of the store by this node itself proved the configuration to be the newest. */
  configReadAtMs: number;
  /** Last time at which a read of the store by this node proved the list of engines to be current. */
  fleetReadAtMs: number;
  /** Last time at which a read of the store, by this node or by the steward, proved the list of engines to be current. */
  fleetProvenAtMs: number;
  /** Until then engines that disappear from the store's list are kept. */
  deferRemovalsUntilMs: number;
  /** Deferred removals: engine to the store revision at which its entry was missing, and the end of the deferral. */
  readonly deferredRemovals: Map<VmId, {revision: number; untilMs: number}>;
  /** When this node learned of the last change of each listed engine's entry; engines renew their entries regularly. */
  readonly heartbeatAtMs: Map<VmId, number>;
  engineCount: number;
  /** Checksum over the revisions of all engines, compared with the steward's to detect lost changes. */
  revisionSum: number;
  /** Since when the engines differ from the steward's; undefined while they are equal. */
  fleetMismatchSinceMs?: number;
  engines: Map<VmId, EngineRecord>;
  /** Last records of engines that the store no longer lists; their processes may still be running. */
  readonly departedEngines: Map<
    VmId,
    Pick<EngineRecord, 'address' | 'bornAtMs' | 'sequence' | 'revision'> & {
      atMs: number;
    }
  >;
  /** Engines whose entries in the store say that they are leaving, and since when this node knows. */
  readonly leavingEngines: Map<VmId, {bornAtMs: number; atMs: number}>;
  /** When a digest with a new key last arrived: another node has probably just started. */
  lastNewPeerAtMs: number;
  /** Results of the probes that the steward requested, by engine. */
  readonly probeResults: Map<
    VmId,
    {
      /** Not even a connection was accepted. */
      isSilent: boolean;
      hasResponded: boolean;
      atMs: number;
    }
  >;
  /** When this node last probed each engine for the steward. */
  readonly lastProbeAtMs: Map<VmId, number>;
  /** Store revision of the last change of each engine, removed engines included. */
  readonly engineRevisions: Map<VmId, number>;
  /** Recent changes, which the steward forwards to peers. */
  recentChanges: {readonly change: EngineChange; readonly atMs: number}[];
  /** The list of engines was read at least once. */
  isFleetKnown: boolean;
  /** Newest store revision that the engines were read at. */
  fleetRevision: number;
  /** When the engines last changed; -Infinity before the first list. */
  fleetChangedAtMs: number;
  /** Replicas and targets have to be derived again from the engines before use. */
  areTargetsStale: boolean;
  replicas: Map<string, ReplicaView>;
  targetsByPool: Map<string, ServingTarget[]>;
  targets: Map<VmId, ServingTarget>;
  /** Engines that this node or a peer found to be lost while the store still lists them; `bornAtMs` identifies the incarnation. */
  readonly lostEngines: Map<VmId, {bornAtMs: number; atMs: number}>;
  /** State that engines announce in the headers of their responses. */
  readonly announcements: AnnouncementState;
  /** Limits on requests that engines name in their responses. */
  readonly rateLimits: RateLimitState;
  /** Engines that tolerate few requests after a start. */
  readonly coldness: ColdnessState;
  /** Targets that start slowly. */
  readonly pace: PaceState;
  /** This node's own network paths to the engines. */
  readonly reachability: ReachabilityState;
  /** Load and health of targets, as measured by this node's own requests. */
  readonly targetLoads: Map<VmId, TargetLoad>;
  /** The last digest of each node, zone or the fleet. */
  readonly peers: Map<PeerKey, PeerView>;
  /** What this node heard of the targets of each pool. */
  readonly poolSigns: Map<string, SignRecord>;
  /** Sums of the loads in those digests, by target. */
  readonly peerLoads: Map<VmId, PeerLoad>;
  /** Time of the first event; undefined before. */
  startedAtMs?: number;
  /** End of the last time in which this node was held up and read nothing: silence counts from then. -Infinity for none. */
  resumedAtMs: number;
  /** Number of peers in the store's node registry. */
  registeredPeerCount: number;
  /** Time-outs that callers sent lately, by route. */
  readonly callerTimeoutsByRoute: Map<string, CallerTimeouts>;
  /** How long requests take at most, by route: a maximum that decays. */
  readonly longDurationMsByRoute: Map<string, number>;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly requestsByAttempt: Map<AttemptId, RequestRecord>;
  readonly forwarding: ForwardingState;
  /** Requests without a target, by pool. */
  readonly waitingByPool: Map<string, RequestRecord[]>;
  /** Recent use of the pools by organisations, of this node and its peers. */
  readonly fairQueue: FairQueueState;
  readonly retries: RetryState;
  /** Evidence of crashes that requests cause. */
  readonly crashes: CrashState;
  /** When the shutdown was requested; undefined while the node serves normally. */
  leavingSinceMs?: number;
  /** The exit effect was emitted. */
  hasExited: boolean;
  readonly steward: StewardState;
}

/** Context of one reducer call: the state, the event's time, and the effects emitted so far. */
export interface ServingStep {
  readonly state: ServingState;
  readonly nowMs: number;
  readonly effects: ServingEffect[];
}

export type {DigestReceiver, ServingEffect, RefusalReason} from './effects.js';
export type {ServingEvent, AttemptFault} from './events.js';
export type * from './peers/types.js';
