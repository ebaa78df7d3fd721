import type {AccessConfig} from '../access/types.js';
import type {AttemptId, RequestId, VmId, ZoneId} from '../ids/index.js';
import type {RefusalReason} from './effects.js';
import type {EngineOrder} from '../steward/types.js';
import type {EngineChange} from '../fleet/types.js';
import type {RegisteredNode, LoadDigest, ServingRequest} from './types.js';

/**
 * Why an attempt has no complete response. `not-sent`: no byte reached the
 * target. `turned-away`: the target refused the request without running it.
 * `broken`: the connection closed early. `garbled`: the bytes received are not
 * a valid response to this request. `failed`: the target responded with a failure.
 * `unsendable`: the request can't be written as HTTP, whatever the target.
 */
export type AttemptFault =
  'not-sent' | 'turned-away' | 'broken' | 'garbled' | 'failed' | 'unsendable';

/** Why another node did not pass a request on, and when the caller may come back. */
export interface PeerRefusal {
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
}

interface RequestArrived {
  readonly type: 'requestArrived';
  readonly request: ServingRequest;
}

interface CallerGone {
  readonly type: 'callerGone';
  readonly requestId: RequestId;
}

/** Events of a stream were forwarded to the caller. */
interface AttemptProgress {
  readonly type: 'attemptProgress';
  readonly attemptId: AttemptId;
  /** Number of events since the last progress. */
  readonly eventCount: number;
  /** The caller has not read the response all the time, so that the events may be older. */
  readonly isDelayed?: boolean;
}

interface AttemptEnded {
  readonly type: 'attemptEnded';
  readonly attemptId: AttemptId;
  readonly status: number;
  /** What showed the end of the response's body, for the log: its length, last chunk, or the close of the connection. */
  readonly bodyEnd?: string;
}

/** The body of a response has ended with its connection, in an orderly way. */
interface AttemptClosed {
  readonly type: 'attemptClosed';
  readonly attemptId: AttemptId;
  /** Time since the process that sent it is known to have run. */
  readonly aliveMs: number;
}

interface AttemptFailed {
  readonly type: 'attemptFailed';
  readonly attemptId: AttemptId;
  readonly fault: AttemptFault;
  readonly status?: number;
  /** Replica member that the target reports as the cause. */
  readonly faultyVmId?: VmId;
  readonly detail?: string;
  /** The refusal of the node that was to pass the request on. */
  readonly refusal?: PeerRefusal;
}

/** An attempt was not sent, since the caller had left before. */
interface AttemptUnsent {
  readonly type: 'attemptUnsent';
  readonly attemptId: AttemptId;
}

/** The newest configuration in the store at `provenAtMs`. */
interface ConfigRead {
  readonly type: 'configRead';
  /** Undefined: unchanged since the last read. */
  readonly config?: AccessConfig;
  readonly provenAtMs: number;
}

/** The zones that the store listed as evacuated, and when it is known to have held no newer list. */
interface EvacuationRead {
  readonly type: 'evacuationRead';
  readonly storeVersion: number;
  readonly zones: readonly ZoneId[];
  readonly provenAtMs: number;
}

/** The full list of registered engines at a store revision. */
interface FleetListed {
  readonly type: 'fleetListed';
  readonly changes: readonly EngineChange[];
  readonly revision: number;
  /** When the store held this list, if a peer supplied it; undefined: now. */
  readonly provenAtMs?: number;
}

/** Changes to registered engines since an earlier revision. */
interface FleetChanged {
  readonly type: 'fleetChanged';
  readonly changes: readonly EngineChange[];
  readonly revision: number;
}

/** The engines that this node has are those that the store held at `provenAtMs`. */
interface FleetProven {
  readonly type: 'fleetProven';
  readonly provenAtMs: number;
}

/** The store's era, read from one of its responses; it rises when the store is restored from a backup. */
interface StoreEraRead {
  readonly type: 'storeEraRead';
  readonly era: number;
}

/** The era that is marked in the store as settled, as this node read it at its start. */
interface SettledEraRead {
  readonly type: 'settledEraRead';
  readonly era: number;
}

/** The store is reachable again after `lostMs` without a response. */
interface StoreRegained {
  readonly type: 'storeRegained';
  readonly lostMs: number;
}

/** The nodes in the store's registry. */
interface PeersRegistered {
  readonly type: 'peersRegistered';
  readonly nodes: readonly RegisteredNode[];
}

/** A digest is due. `isUrgent`: send it to all peers at once. */
interface DigestDue {
  readonly type: 'digestDue';
  readonly isUrgent: boolean;
}

interface DigestReceived {
  readonly type: 'digestReceived';
  readonly digest: LoadDigest;
}

/** This node holds the steward lease until `untilMs`; `term` rises with each holder. */
interface StewardLeaseHeld {
  readonly type: 'stewardLeaseHeld';
  readonly term: number;
  /** Era of the store that granted the lease. */
  readonly era?: number;
  readonly untilMs: number;
}

interface StewardLeaseLost {
  readonly type: 'stewardLeaseLost';
}

/** A new connection to an engine was established, after `connectMs`. */
interface EngineConnected {
  readonly type: 'engineConnected';
  readonly vmId: VmId;
  readonly connectMs: number;
}

interface OrderAnswered {
  readonly type: 'orderAnswered';
  readonly vmId: VmId;
  readonly order: EngineOrder;
  /** `unknown`: the engine did not respond, but may still carry out the order. */
  readonly outcome:
    'begun' | 'done' | 'conflict' | 'outdated' | 'refused' | 'unknown';
}

interface ProbeAnswered {
  readonly type: 'probeAnswered';
  readonly vmId: VmId;
  /** `accepted`: the connection was accepted, but the engine did not respond in time: its process may stand still. */
  readonly outcome: 'answered' | 'accepted' | 'refused' | 'silent';
  /** Factor on the engine's published times; above 1 it is slower. */
  readonly pace?: number;
  /** Start of the process that answered, if it names it. */
  readonly bornAtMs?: number;
  /** Time since the probe was sent. */
  readonly ageMs?: number;
  /** The probe was sent for bodies that closed. */
  readonly isForClose?: boolean;
  /** The probe was sent to a silent target that requests waited for. */
  readonly isForSilence?: boolean;
}

/** State that an engine announces in the headers of a response. */
interface EngineAnnounced {
  readonly type: 'engineAnnounced';
  readonly vmId: VmId;
  readonly isLeaving: boolean;
  /** Time for which this node must send the engine no requests; undefined: it accepts requests. */
  readonly backoffMs?: number;
  /** Requests per second that the engine takes from all nodes together; undefined: it names no limit. */
  readonly limitPerS?: number;
  /** A limit that the engine named before has ended. */
  readonly isLimitOver?: boolean;
  /** Time for which the engine is still cold; undefined: it does not say. */
  readonly coldLeftMs?: number;
}

/** The event loop, or the process, was held up: nothing was read for `lateMs`. */
interface Resumed {
  readonly type: 'resumed';
  readonly lateMs: number;
}

interface LeaveRequested {
  readonly type: 'leaveRequested';
}

interface Tick {
  readonly type: 'tick';
}

/** Input of the reducer; the event loop adds the time. */
export type ServingEvent =
  | RequestArrived
  | CallerGone
  | AttemptProgress
  | AttemptEnded
  | AttemptClosed
  | AttemptFailed
  | AttemptUnsent
  | ConfigRead
  | EvacuationRead
  | FleetListed
  | FleetChanged
  | FleetProven
  | PeersRegistered
  | StoreRegained
  | StoreEraRead
  | SettledEraRead
  | DigestDue
  | DigestReceived
  | StewardLeaseHeld
  | StewardLeaseLost
  | EngineConnected
  | OrderAnswered
  | ProbeAnswered
  | EngineAnnounced
  | Resumed
  | LeaveRequested
  | Tick;
