import type {AttemptId, NodeId, RequestId, VmId} from '../ids/index.js';
import type {EngineOrder} from '../steward/types.js';
import type {LoadDigest} from './peers/types.js';

/** Why a node ends a request with an error of its own. */
export type RefusalReason =
  | 'no-configuration'
  | 'no-proof'
  | 'unknown-route'
  | 'unknown-key'
  | 'no-target'
  | 'evacuated'
  | 'unreachable'
  | 'overloaded'
  | 'crash-suspect'
  | 'leaving'
  | 'unsendable'
  | 'timeout'
  | 'target-failed';

/** Sends a request to a target, or resumes its stream there. */
interface StartAttempt {
  readonly type: 'startAttempt';
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly vmId: VmId;
  readonly address: string;
  readonly organisation?: string;
  /** Time-out that the target is given: the time left until the request's deadline. */
  readonly targetTimeoutMs: number;
  /** Class by which the target admits queued requests; 0 is admitted first. */
  readonly urgency: number;
  /** Open a new connection instead of reusing one; unsafe requests need it. */
  readonly needsNewConnection: boolean;
  readonly isStream: boolean;
  /** The stream can go on at another target after the last event that the caller has. */
  readonly isResumable: boolean;
}

/** Sends a request to another node, which passes it on to a target. */
interface StartForward {
  readonly type: 'startForward';
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly nodeId: NodeId;
  /** The other node's address for callers; requests of nodes go to another port there. */
  readonly callerAddress: string;
  /** Time left until the request's deadline. */
  readonly timeoutMs: number;
  /** Earlier attempts in which the request may have run. */
  readonly priorRunCount: number;
  readonly isStream: boolean;
  /** As for an attempt at a target. */
  readonly isResumable: boolean;
}

/** Completes the response of an attempt after `attemptClosed`. */
interface FinishAnswer {
  readonly type: 'finishAnswer';
  readonly attemptId: AttemptId;
}

interface CancelAttempt {
  readonly type: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** Responds to a request with an error of the node itself. */
interface Refuse {
  readonly type: 'refuse';
  readonly requestId: RequestId;
  readonly status: 401 | 404 | 502 | 503 | 504;
  readonly reason: RefusalReason;
  readonly retryAfterMs?: number;
}

/** Closes the connection to a caller that has received part of its response. */
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

/** Requests an engine's status report. */
interface ProbeEngine {
  readonly type: 'probeEngine';
  readonly vmId: VmId;
  readonly address: string;
  /** Sent for bodies that closed: its silence is no evidence on the path, since targets may reset new connections. */
  readonly isForClose?: boolean;
  /** Sent for a silent target that requests wait for: its silence is known, and no evidence on the path. */
  readonly isForSilence?: boolean;
}

/** Reads the full list of engines again, if this node watches the store itself. */
interface RelistEngines {
  readonly type: 'relistEngines';
}

/** Marks an era in the store as settled. */
interface MarkSettledEra {
  readonly type: 'markSettledEra';
  readonly era: number;
}

/** Sends a digest to several nodes. */
interface SendDigest {
  readonly type: 'sendDigest';
  readonly digest: LoadDigest;
  readonly to: readonly DigestReceiver[];
}

/** Destination of a digest. */
export interface DigestReceiver {
  readonly address: string;
  /** `sentAtMs` of the receiver's own digest that the summary includes; undefined: none. */
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

/** Lets the process exit: no requests are left, or the shutdown grace period is over. */
interface Exit {
  readonly type: 'exit';
}

/** Side effects that the runtime carries out for the reducer. */
export type ServingEffect =
  | StartAttempt
  | StartForward
  | FinishAnswer
  | CancelAttempt
  | Refuse
  | CutAnswer
  | SendOrder
  | ProbeEngine
  | SendDigest
  | RelistEngines
  | MarkSettledEra
  | Log
  | Metric
  | Exit;
