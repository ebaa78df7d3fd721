import type {AttemptId, RequestId, VmId} from '../ids/index.js';
import type {EngineOrder} from '../steward/types.js';
import type {LoadDigest} from './peers/types.js';

/** Why a request got no answer of a target. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-proof'
  | 'unknown-route'
  | 'unknown-key'
  | 'no-target'
  | 'overloaded'
  | 'crash-suspect'
  | 'leaving'
  | 'timeout'
  | 'target-failed';

/** Sends a request, or the rest of its stream, to a target. */
interface StartAttempt {
  readonly type: 'startAttempt';
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly address: string;
  readonly organisation?: string;
  /** How long the target may work on it. */
  readonly patienceMs: number;
  /** 0 is admitted first. */
  readonly urgency: number;
  /** Unsafe requests use a connection that no other request used. */
  readonly freshConnection: boolean;
  readonly isStream: boolean;
}

interface CancelAttempt {
  readonly type: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** Final answer of the node's own. */
interface Refuse {
  readonly type: 'refuse';
  readonly requestId: RequestId;
  readonly status: 401 | 404 | 502 | 503 | 504;
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
}

/** Breaks off an answer of which the caller has a part. */
interface CutAnswer {
  readonly type: 'cutAnswer';
  readonly requestId: RequestId;
}

interface SendOrder {
  readonly type: 'sendOrder';
  readonly vmId: VmId;
  readonly address: string;
  readonly order: EngineOrder;
}

/** Asks an engine for its report. */
interface ProbeEngine {
  readonly type: 'probeEngine';
  readonly vmId: VmId;
  readonly address: string;
}

/** Lists all engines anew, where this node reads them itself. */
interface RelistEngines {
  readonly type: 'relistEngines';
}

/** Tells nodes a digest, each with the one of its own that is counted. */
interface SendDigest {
  readonly type: 'sendDigest';
  readonly digest: LoadDigest;
  readonly to: readonly DigestReceiver[];
}

/** Where a digest goes. */
export interface DigestReceiver {
  readonly address: string;
  readonly countedSentAtMs?: number;
}

interface Log {
  readonly type: 'log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly area: string;
  readonly message: string;
  readonly fields?: Readonly<Record<string, unknown>>;
}

interface Metric {
  readonly type: 'metric';
  readonly name: string;
  readonly value: number;
  readonly labels?: Readonly<Record<string, string>>;
}

/** All requests are answered, or the grace is over: the process may end. */
interface Exit {
  readonly type: 'exit';
}

/** What the runtime is asked to do. */
export type ServingEffect =
  | StartAttempt
  | CancelAttempt
  | Refuse
  | CutAnswer
  | SendOrder
  | ProbeEngine
  | SendDigest
  | RelistEngines
  | Log
  | Metric
  | Exit;
