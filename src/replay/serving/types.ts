import type {Organisation} from '../../core/access/types.js';
import type {AttemptFault} from '../../core/serving/types.js';
import type {EngineCosts, EngineRecord} from '../../core/fleet/types.js';
import type {EngineOrder} from '../../core/steward/types.js';
import type {
  ModelName,
  NodeId,
  PromptPartId,
  RequestId,
  VmId,
} from '../../core/ids/index.js';
import type {ServingRequest, ServingState} from '../../core/serving/types.js';

/** Organisations and priorities of a simulation's configuration. */
export interface AccessOptions {
  /** Organisations by API key. */
  readonly organisationsByKey?: ReadonlyMap<string, Organisation>;
  /** Priority of each route, 1 by default. */
  readonly priorities?: Readonly<Record<string, number>>;
}

/** A request at a simulated engine. */
export interface EngineJob {
  readonly attemptId: string;
  readonly urgency: number;
  /** Number of prompt tokens that are still to be read. */
  unreadTokens: number;
  /** Number of events that are still to be sent. */
  eventsLeft: number;
  hasStarted: boolean;
  /** Part of the prompt that ends the engine's process when it would send the first event; undefined for a sound request. */
  readonly crashingPartId?: PromptPartId;
  /** The engine sends the head of its response. */
  readonly onStart: () => void;
  readonly onEvent: () => void;
  readonly onEnd: () => void;
  readonly onFail: (fault: AttemptFault) => void;
}

/** A simulated engine's interface to the simulation. */
export interface EngineWorld {
  readonly nowMs: number;
  readonly costs: EngineCosts;
  /** How long a head with a missing member stalls before it fails its requests. */
  readonly stallMs: number;
  after(delayMs: number, run: () => void): void;
  findEngine(vmId: VmId): VirtualEngineView | undefined;
  /** Writes the current record of an engine to the simulated store. */
  publishRecord(vmId: VmId): void;
  /** Reports that an engine starts to join a replica; like the next three, for the invariant checks. */
  recordJoin(vmId: VmId, order: JoinOrder): void;
  recordReady(vmId: VmId): void;
  /** Reports that a head opens. */
  recordOpen(vmId: VmId): void;
  recordRequestStart(vmId: VmId): void;
  recordWeightLoad(vmId: VmId): void;
  /** Ends the engine's process because of a prompt part; it restarts after some seconds. */
  crashByPart(vmId: VmId, partId: PromptPartId): void;
  /** Factor on the duration of weight loads. */
  weightLoadFactor(): number;
}

/** An order to join a replica. */
export type JoinOrder = Extract<EngineOrder, {kind: 'join'}>;

/** State of an engine that is visible to other engines. */
export interface VirtualEngineView {
  readonly record: EngineRecord;
  readonly isUp: boolean;
  readonly slowdownFactor: number;
  readonly members: readonly VmId[];
  /** Whether the engine is up and its replica's stage is `open` or `closing`; only heads reach these stages. */
  readonly isServing: boolean;
  readonly isPaused: boolean;
  /** Runs now, or when the process goes on. */
  whenRunning(run: () => void): void;
}

/** An event that a crashing prompt part caused: its arrival at an engine, or the engine's crash. */
export interface CrashingPartEvent {
  readonly atMs: number;
  readonly partId: PromptPartId;
}

/**
 * How the path from a node to engines is cut. `silent`: nothing gets through.
 * `refused`: all connections are reset. `established-only`: open connections
 * live on, new ones are refused.
 */
export type PathFault = 'silent' | 'refused' | 'established-only';

/** Arrival of an attempt at an engine. */
export interface AttemptArrival {
  readonly atMs: number;
  /** Id of the request at its node; a caller's own retry is a new request. */
  readonly requestId: RequestId;
  readonly vmId: VmId;
}

/** Outcome of a caller's request, over all attempts of the caller. */
export interface CallerOutcome {
  /** Kind of request, such as `chat`. */
  readonly kind: string;
  readonly model?: ModelName;
  readonly sharedPartIds: readonly PromptPartId[];
  readonly promptTokens: number;
  readonly apiKey: string;
  readonly arrivedAtMs: number;
  /** Retry times of the refusals, in ms. */
  readonly retryAfterMs: number[];
  /** The node that got the caller's first attempt; undefined before. */
  nodeId?: NodeId;
  readonly goalMs: number;
  readonly gapGoalMs: number;
  /** Time from `arrivedAtMs` to the first event. */
  firstEventMs?: number;
  longestGapMs: number;
  /** `whole`: all events arrived. `cut`: a node closed the connection after part of the response. Undefined while the request is open. */
  result?: 'whole' | 'refused' | 'failed' | 'cut';
  refusalCount: number;
  endedAtMs?: number;
}

/** A caller's request, before it is sent to a node. */
export interface WorldRequest {
  readonly kind: string;
  readonly path: string;
  readonly model: ServingRequest['model'];
  readonly promptTokens: number;
  /** Parts of the prompt that other requests may share; none by default. */
  readonly sharedPartIds?: ServingRequest['sharedPartIds'];
  /** Number of events of the complete response. */
  readonly events: number;
  readonly apiKey?: string;
  /** Time-out of the caller; that of the route by default. */
  readonly callerTimeoutMs?: number;
  /** Index of the node that the caller uses; a random one by default. */
  readonly nodeIndex?: number;
}

/** State of a caller's request over all its attempts. */
export interface CallerCallState {
  readonly outcome: CallerOutcome;
  readonly request: Omit<ServingRequest, 'requestId' | 'arrivedAtMs'>;
  readonly nodeIndex?: number;
  /** Number of events of the complete response. */
  readonly events: number;
  eventsReceived: number;
  lastEventAtMs?: number;
  attemptCount: number;
}

/** Who gets a node's responses: a caller, or the node that it passes the request on for. */
export interface CallerSide {
  /** Returns a request that has no final response yet. */
  find(requestId: RequestId): CallerCallState | undefined;
  receiveEvent(requestId: RequestId): void;
  end(requestId: RequestId, result: 'whole' | 'cut'): void;
}

/** A serving node of a simulation. */
export interface WorldNode {
  state: ServingState;
  isUp: boolean;
}
