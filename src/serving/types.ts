import type {AccessConfig} from '../core/access/types.js';
import type {Clock} from '../runtime/types.js';
import type {EngineOrder} from '../core/steward/types.js';
import type {EngineChange, EngineRecord} from '../core/fleet/types.js';
import type {EventSink} from '../runtime/types.js';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {Logger} from '../logging/types.js';
import type {
  ModelName,
  NodeId,
  PromptPartId,
  VmId,
  ZoneId,
} from '../core/ids/index.js';
import type {NodeMetrics} from '../metrics/types.js';
import type {CatchUp} from './catch_up.js';
import type {ConnectionTable} from './clients/connection_table.js';
import type {LimitLog} from './clients/limit_log.js';
import type {ListenerLimits} from './clients/types.js';
import type {SharedTimer} from './shared_timer.js';
import type {PlatformStore} from '../core/store/types.js';
import type {
  ServingBounds,
  ServingEvent,
  ServingState,
} from '../core/serving/types.js';

/** Fields of a request that are read from the caller's headers. */
export interface CallerHead {
  /** The caller's id for this request; targets echo it. */
  readonly callerId: string;
  readonly apiKey?: string;
  /** How long the caller waits for the response; undefined when it isn't given. */
  readonly callerTimeoutMs?: number;
  readonly model?: ModelName;
  /** 0 when the caller doesn't give it. */
  readonly promptTokens: number;
  /** Parts of the prompt that other requests may share, in order; the last part is the request's own and is left out. */
  readonly sharedPartIds: readonly PromptPartId[];
  /** Id of the last event that the caller has received, when it resumes a stream. */
  readonly lastEventId?: string;
}

/** Fields that are sent to a target in addition to the caller's headers. */
export interface AttemptHead {
  readonly vmId: VmId;
  readonly organisation?: string;
  /** Time left until the caller's deadline. */
  readonly targetTimeoutMs: number;
  /** Class by which the target admits waiting requests; 0 is admitted first. */
  readonly urgency: number;
  /** Id of the last event that the caller has; the target resumes the stream after it. */
  readonly lastEventId?: string;
}

/** Fields of a response that are read from the target's headers. */
export interface TargetHead {
  /** The caller's id of the request that this response belongs to. */
  readonly callerId?: string;
  /** The target states that it did not run the request. */
  readonly hasNotRun: boolean;
  /** The response carries the signature that proves it comes from the target. */
  readonly isSigned: boolean;
  /** The replica member that the target reports as the cause of a refusal. */
  readonly faultyVmId?: VmId;
}

/** An engine's own state, as announced in the head of any response. */
export interface EngineAnnouncement {
  /** The engine accepts no new work and shuts down soon. */
  readonly isLeaving: boolean;
  /** Time for which the engine requests that this node sends it none; undefined if it accepts requests. */
  readonly backoffMs?: number;
  /** Requests per second that the engine takes from all nodes together; undefined if it names no limit. */
  readonly limitPerS?: number;
  /** A limit is named that can't be read. */
  readonly hasUnreadableLimit?: boolean;
  /** Time for which the engine is still cold, a large one for a value that can't be read; undefined if it does not say. */
  readonly coldLeftMs?: number;
}

/** Maps the headers of callers and targets to fields and back. Contains no decisions. */
export interface CallerWire {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  writeAttempt(
    headers: IncomingHttpHeaders,
    attempt: AttemptHead,
  ): OutgoingHttpHeaders;
  /** Returns the headers of a request to another node, which reads them like those of a caller. */
  writeForward(
    headers: IncomingHttpHeaders,
    forward: {readonly timeoutMs: number; readonly lastEventId?: string},
  ): OutgoingHttpHeaders;
  readTarget(status: number, headers: IncomingHttpHeaders): TargetHead;
  /** Returns the headers of a target's response that are forwarded to the caller. */
  selectResponseHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
  writeRefusal(
    callerId: string,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders;
}

/** Format of the directory's requests and responses. Contains no decisions. */
export interface DirectoryWire {
  readonly path: string;
  /** Returns the caller's zone from the query; undefined when it isn't given. */
  readZone(query: string): ZoneId | undefined;
  /** Returns the response body; callers may cache it for `keepMs`. */
  writeAddresses(addresses: readonly string[], keepMs: number): string;
}

/** An HTTP request to an engine's control interface. */
export interface EngineCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

/** Formats of orders, probes and announcements of engines. Contains no decisions. */
export interface EngineWire {
  writeOrder(order: EngineOrder): EngineCall;
  /** Maps the HTTP status of an order's response to its result; undefined for an unexpected status. */
  readOrderStatus(
    status: number,
  ): 'begun' | 'done' | 'conflict' | 'outdated' | undefined;
  writeProbe(): EngineCall;
  /** Returns undefined for a body that can't be parsed. `pace` is a factor on the published times. */
  readProbe(
    body: string,
  ): {readonly pace?: number; readonly bornAtMs?: number} | undefined;
  readAnnouncement(
    status: number,
    headers: IncomingHttpHeaders,
  ): EngineAnnouncement;
}

/** Keys under which the store holds the platform's data, and the parsers of their values. */
export interface PlatformSources {
  readonly configKey: string;
  /** Prefix of all that the operator writes: the configuration and the evacuations. */
  readonly operatorPrefix: string;
  /** Returns the zone that a key evacuates; undefined for other keys. */
  parseEvacuatedZone(key: string): ZoneId | undefined;
  /** Returns an error message for invalid text. */
  readConfig(text: string): AccessConfig | string;
  readonly enginesPrefix: string;
  /** Returns an error message for invalid text. */
  readEngine(
    key: string,
    text: string,
    revision: number,
  ): EngineRecord | string;
  /** Returns the VM id in an engine's key. */
  parseVmId(key: string): VmId;
}

/** All data formats of one platform. */
export interface PlatformWire {
  readonly callers: CallerWire;
  readonly directory: DirectoryWire;
  readonly engines: EngineWire;
  readonly sources: PlatformSources;
}

/** Settings of a serving node. */
export interface ServingSettings {
  readonly nodeId: NodeId;
  readonly zone: ZoneId;
  /** Processor time available to the VM per second, in cores; may be a fraction. */
  readonly coreCount: number;
  /** Addresses to listen on, as `host:port`. */
  readonly listen: {
    /** HTTP, for requests of callers. */
    readonly callers: string;
    /** HTTP, for readiness checks. */
    readonly ready: string;
    /** HTTP, for callers that look up node addresses. */
    readonly directory: string;
    /** UDP, for digests between nodes. */
    readonly peers: string;
    /** HTTP, for documents that nodes fetch from each other; the same port on all nodes. */
    readonly documents: string;
    /** HTTP, for requests that other nodes pass on; the same port on all nodes. */
    readonly forwards: string;
    /** HTTP, for Prometheus scrapes; undefined to disable them. */
    readonly metrics?: string;
  };
  /** True when all nodes of the system are started for the first time. */
  readonly isFirstStart: boolean;
  readonly storeAddress: string;
  /** Shortest TTL that the store accepts for a lease. */
  readonly minLeaseMs: number;
  /** Longest time for which callers may cache a directory response. */
  readonly maxKeepMs: number;
  readonly bounds: ServingBounds;
  /** What clients may take of memory and descriptors; the limits of the smallest machine by default. */
  readonly clientLimits?: ListenerLimits;
}

/** The newest configuration that this node has read, as the operator's original text; undefined text and version -1 before the first. */
export interface ConfigCache {
  text?: string;
  version: number;
}

/** All engines, as one node sends them to another. */
export interface EngineList {
  /** Latest revision of the store that the list includes. */
  readonly revision: number;
  readonly changes: readonly EngineChange[];
}

/** Dependencies that are shared by all components of a serving node. */
export interface ServingContext {
  readonly settings: ServingSettings;
  readonly wire: PlatformWire;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly events: EventSink<ServingEvent>;
  /** Read only; the event loop alone changes it. */
  readonly state: ServingState;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly sharedTimer: SharedTimer;
  readonly catchUp: CatchUp;
  /** Limits on clients, shared by all listeners. */
  readonly clients: ClientLimits;
}

/** Limits on clients, and what enforces them at all listeners. */
export interface ClientLimits {
  readonly limits: ListenerLimits;
  readonly connections: ConnectionTable;
  readonly limitLog: LimitLog;
  readonly clock: Clock;
}

/** A component of a node that holds resources, such as a listener or a lease, and releases them on close. */
export interface ServingComponent {
  close(): Promise<void>;
}
