import type {AccessConfig} from '../core/access/types.js';
import type {Clock} from '../runtime/types.js';
import type {EngineOrder} from '../core/steward/types.js';
import type {EngineChange, EngineRecord} from '../core/fleet/types.js';
import type {EventSink} from '../runtime/types.js';
import type {IncomingHttpHeaders, OutgoingHttpHeaders} from 'node:http';
import type {Logger} from '../logging/types.js';
import type {ModelName, NodeId, VmId, ZoneId} from '../core/ids/index.js';
import type {NodeMetrics} from '../metrics/types.js';
import type {Pulse} from './pulse.js';
import type {PlatformStore} from '../core/store/types.js';
import type {
  ServingBounds,
  ServingEvent,
  ServingState,
} from '../core/serving/types.js';

/** What a caller's headers say of its request. */
export interface CallerHead {
  /** The caller's id of this request; targets echo it. */
  readonly callerId: string;
  readonly apiKey?: string;
  readonly patienceMs?: number;
  readonly model?: ModelName;
  readonly promptTokens: number;
  /** The caller has the events up to this one. */
  readonly afterEventId?: string;
}

/** What a target is told beside the caller's own headers. */
export interface AttemptHead {
  readonly vmId: VmId;
  readonly organisation?: string;
  readonly patienceMs: number;
  readonly urgency: number;
  readonly afterEventId?: string;
}

/** What a target's headers say of its answer. */
export interface TargetHead {
  /** The id of the request that is answered. */
  readonly callerId?: string;
  /** The target says that it did not run the request. */
  readonly isNotRun: boolean;
  /** The answer bears the target's proof that the bytes are its own. */
  readonly isSigned: boolean;
  readonly faultyVmId?: VmId;
}

/** What an engine says of itself in the head of any answer. */
export interface EngineAnnouncement {
  /** It takes no new work, and ends soon. */
  readonly isLeaving: boolean;
  /** It wants no requests of this node for so long. */
  readonly quietMs?: number;
}

/** Names of the headers between callers and targets. Decides nothing. */
export interface CallerWire {
  readCaller(headers: IncomingHttpHeaders): CallerHead;
  writeAttempt(
    headers: IncomingHttpHeaders,
    attempt: AttemptHead,
  ): OutgoingHttpHeaders;
  readTarget(status: number, headers: IncomingHttpHeaders): TargetHead;
  /** Headers of a target's answer that the caller gets. */
  passAnswer(headers: IncomingHttpHeaders): OutgoingHttpHeaders;
  writeRefusal(
    callerId: string,
    retryAfterMs: number | undefined,
  ): OutgoingHttpHeaders;
}

/** A question of a caller for addresses, and its answer. Decides nothing. */
export interface DirectoryWire {
  readonly path: string;
  /** Zone of the caller that asks; undefined when it doesn't say. */
  readZone(query: string): ZoneId | undefined;
  writeAddresses(addresses: readonly string[], keepMs: number): string;
}

/** A call to an engine's control interface. */
export interface EngineCall {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

/** Formats of orders and reports. Decides nothing. */
export interface EngineWire {
  writeOrder(order: EngineOrder): EngineCall;
  /** What an order's answer means; undefined for a status without meaning. */
  readOrderStatus(
    status: number,
  ): 'begun' | 'done' | 'conflict' | 'outdated' | undefined;
  writeProbe(): EngineCall;
  readProbe(body: string): {readonly pace?: number} | undefined;
  readAnnouncement(
    status: number,
    headers: IncomingHttpHeaders,
  ): EngineAnnouncement;
}

/** Where the store holds what the platform provides, and how to read it. */
export interface PlatformSources {
  readonly configKey: string;
  readConfig(text: string): AccessConfig | string;
  readonly enginesPrefix: string;
  readEngine(
    key: string,
    text: string,
    revision: number,
  ): EngineRecord | string;
  engineOf(key: string): VmId;
}

/** All formats of one platform. */
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
  /** Processor time that the VM has a second, in cores. */
  readonly coreCount: number;
  readonly listen: {
    readonly callers: string;
    readonly ready: string;
    readonly directory: string;
    /** UDP, for what nodes tell each other. */
    readonly peers: string;
    /** TCP, for documents that nodes hand on; the same port at all nodes. */
    readonly documents: string;
    readonly metrics?: string;
  };
  /** The whole system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly storeAddress: string;
  readonly minLeaseMs: number;
  /** Longest time that callers keep the answer of a resolve. */
  readonly maxKeepMs: number;
  readonly bounds: ServingBounds;
}

/** The newest configuration that this node has read, in the operator's words. */
export interface HeldConfig {
  text?: string;
  version: number;
}

/** All engines, as one node hands them on to another. */
export interface EngineList {
  readonly revision: number;
  readonly changes: readonly EngineChange[];
}

/** What every part of a serving node is given. */
export interface ServingContext {
  readonly settings: ServingSettings;
  readonly wire: PlatformWire;
  readonly store: PlatformStore;
  readonly clock: Clock;
  readonly events: EventSink<ServingEvent>;
  /** Read only: the loop alone changes it. */
  readonly state: ServingState;
  readonly logger: Logger;
  readonly metrics: NodeMetrics;
  readonly pulse: Pulse;
}

/** A part of a node that opens something. */
export interface ServingPart {
  close(): Promise<void>;
}
