import type {AccessConfig} from '../access/types.js';
import type {AttemptId, RequestId, VmId} from '../ids/index.js';
import type {EngineOrder} from '../steward/types.js';
import type {EngineChange} from '../fleet/types.js';
import type {ListedNode, LoadDigest, ServingRequest} from './types.js';

/**
 * How an attempt ended without a whole answer. `not-sent`: no byte reached the
 * target. `turned-away`: the target said that it did not run the request.
 * `broken`: the connection ended early. `garbled`: bytes that are no answer to
 * this request. `failed`: the target's own answer says that it failed.
 */
export type AttemptFault =
  'not-sent' | 'turned-away' | 'broken' | 'garbled' | 'failed';

interface RequestArrived {
  readonly type: 'requestArrived';
  readonly request: ServingRequest;
}

interface CallerGone {
  readonly type: 'callerGone';
  readonly requestId: RequestId;
}

/** Events of a stream, or the head of an answer, passed on to the caller. */
interface AttemptProgress {
  readonly type: 'attemptProgress';
  readonly attemptId: AttemptId;
  readonly eventCount: number;
}

interface AttemptEnded {
  readonly type: 'attemptEnded';
  readonly attemptId: AttemptId;
  readonly status: number;
}

interface AttemptFailed {
  readonly type: 'attemptFailed';
  readonly attemptId: AttemptId;
  readonly fault: AttemptFault;
  readonly status?: number;
  /** Member that the target blames. */
  readonly faultyVmId?: VmId;
  readonly detail?: string;
}

/** The configuration as the store held it at `provenAtMs`. */
interface ConfigRead {
  readonly type: 'configRead';
  /** Undefined: unchanged since the last reading. */
  readonly config?: AccessConfig;
  readonly provenAtMs: number;
}

/** All engines that are registered, at a revision of the store. */
interface FleetListed {
  readonly type: 'fleetListed';
  readonly changes: readonly EngineChange[];
  readonly revision: number;
  /** When the store held this, where a peer tells it; undefined: now. */
  readonly provenAtMs?: number;
}

/** Changes of registered engines. */
interface FleetChanged {
  readonly type: 'fleetChanged';
  readonly changes: readonly EngineChange[];
  readonly revision: number;
}

/** What is known of the engines is what the store held at `provenAtMs`. */
interface FleetProven {
  readonly type: 'fleetProven';
  readonly provenAtMs: number;
}

/** An answer of the store, with its era. */
interface StoreEraRead {
  readonly type: 'storeEraRead';
  readonly era: number;
}

/** The store answers again after it didn't for a time. */
interface StoreRegained {
  readonly type: 'storeRegained';
  readonly lostMs: number;
}

/** The nodes that the store lists. */
interface PeersRegistered {
  readonly type: 'peersRegistered';
  readonly nodes: readonly ListedNode[];
}

/** It is time to tell peers; `isUrgent`: all of them, now. */
interface DigestDue {
  readonly type: 'digestDue';
  readonly isUrgent: boolean;
}

interface DigestReceived {
  readonly type: 'digestReceived';
  readonly digest: LoadDigest;
}

/** The lease of the steward is held until `untilMs`; `term` rises with each holder. */
interface StewardLeaseHeld {
  readonly type: 'stewardLeaseHeld';
  readonly term: number;
  /** Of the store that granted the lease. */
  readonly era?: number;
  readonly untilMs: number;
}

interface StewardLeaseLost {
  readonly type: 'stewardLeaseLost';
}

interface OrderAnswered {
  readonly type: 'orderAnswered';
  readonly vmId: VmId;
  readonly order: EngineOrder;
  /** `unknown`: no answer, the order may still be carried out. */
  readonly outcome:
    'begun' | 'done' | 'conflict' | 'outdated' | 'refused' | 'unknown';
}

interface ProbeAnswered {
  readonly type: 'probeAnswered';
  readonly vmId: VmId;
  readonly outcome: 'answered' | 'refused' | 'silent';
  /** Factor on the engine's times; over 1 is slow. */
  readonly pace?: number;
}

/** What an engine says of itself in the head of an answer. */
interface EngineAnnounced {
  readonly type: 'engineAnnounced';
  readonly vmId: VmId;
  readonly isLeaving: boolean;
  /** It wants no requests of this node for so long. */
  readonly quietMs?: number;
}

interface LeaveRequested {
  readonly type: 'leaveRequested';
}

interface Tick {
  readonly type: 'tick';
}

/** What a serving node reacts to, before the loop dates it. */
export type ServingEvent =
  | RequestArrived
  | CallerGone
  | AttemptProgress
  | AttemptEnded
  | AttemptFailed
  | ConfigRead
  | FleetListed
  | FleetChanged
  | FleetProven
  | PeersRegistered
  | StoreRegained
  | StoreEraRead
  | DigestDue
  | DigestReceived
  | StewardLeaseHeld
  | StewardLeaseLost
  | OrderAnswered
  | ProbeAnswered
  | EngineAnnounced
  | LeaveRequested
  | Tick;
