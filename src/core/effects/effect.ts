import type {
  AttemptId,
  NodeId,
  OperationId,
  OrderId,
  RequestId,
  TargetId,
  VmId,
} from '../ids/index.js';
import type {CoreArea} from '../events/types.js';
import type {EngineAssignment} from '../targets/types.js';
import type {OperatorAnswer} from '../operators/types.js';
import type {PeerMessage} from '../peers/types.js';
import type {Refusal} from '../errors/index.js';
import type {StoreOperation} from '../store/types.js';
import type {Entry} from '../entries/types.js';

/** Sends the request, or the rest of its stream, to a target. */
interface StartAttempt {
  readonly type: 'startAttempt';
  readonly requestId: RequestId;
  readonly attemptId: AttemptId;
  readonly targetId: TargetId;
  readonly address: string;
  /** Unrepeatable requests use a connection that no other request used. */
  readonly freshConnection: boolean;
  /** Continues after the tokens that the caller already has. */
  readonly resume: boolean;
  /** Engine priority: larger goes first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
}

/** Ends an attempt; the target's work is cancelled, the caller's answer stays open. */
interface CancelAttempt {
  readonly type: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** Final answer to a caller that gets no, or no further, bytes of a target. */
interface Refuse {
  readonly type: 'refuse';
  readonly requestId: RequestId;
  readonly refusal: Refusal;
  /** Where to go instead, for refusals by a leaving or overloaded node. */
  readonly entries?: readonly Entry[];
}

/** Final answer with a kept answer of an earlier run. */
interface AnswerKept {
  readonly type: 'answerKept';
  readonly requestId: RequestId;
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Ends the answer after `attemptEnded`: the caller has it whole. */
interface FinishAnswer {
  readonly type: 'finishAnswer';
  readonly requestId: RequestId;
}

interface CallStore {
  readonly type: 'store';
  readonly area: CoreArea;
  readonly operationId: OperationId;
  /** A value of `STORE_PRIORITY`. */
  readonly priority: number;
  readonly timeoutMs: number;
  readonly operation: StoreOperation;
}

/** Adds a message to the next exchange with a peer. */
interface PeerSend {
  readonly type: 'peerSend';
  readonly to: NodeId;
  readonly message: PeerMessage;
  /** Sends the exchange now, with all that waits for this peer. */
  readonly urgent?: boolean;
}

interface PeerAsk {
  readonly type: 'peerAsk';
  readonly area: CoreArea;
  readonly to: NodeId;
  readonly callId: OperationId;
  readonly timeoutMs: number;
  readonly message: PeerMessage;
}

interface PeerAnswer {
  readonly type: 'peerAnswer';
  readonly callId: OperationId;
  readonly message: PeerMessage;
}

/** Tells the runtime how to reach peers; ids that are absent are forgotten. */
interface SetPeers {
  readonly type: 'setPeers';
  readonly peers: readonly {
    readonly nodeId: NodeId;
    readonly address: string;
  }[];
}

/** Tells the runtime which VMs this node polls for reports, and how often. */
interface SetPolls {
  readonly type: 'setPolls';
  readonly polls: readonly {readonly vmId: VmId; readonly address: string}[];
  readonly intervalMs: number;
}

interface SendOrder {
  readonly type: 'sendOrder';
  readonly orderId: OrderId;
  readonly vmId: VmId;
  readonly address: string;
  readonly fencingToken: number;
  readonly timeoutMs: number;
  /** Past this time no byte of the order may be written. */
  readonly notAfterMs: number;
  /** Undefined: the engine releases what it has. */
  readonly assignment?: EngineAssignment;
}

interface AnswerOperator {
  readonly type: 'operatorAnswer';
  readonly operationId: OperationId;
  readonly answer: OperatorAnswer;
}

interface Log {
  readonly type: 'log';
  readonly level: 'debug' | 'info' | 'warn' | 'error';
  readonly area: string;
  readonly message: string;
  readonly fields?: Readonly<Record<string, unknown>>;
}

/** A measurement; names are listed in `src/metrics`. */
interface Metric {
  readonly type: 'metric';
  readonly name: string;
  readonly value: number;
  readonly labels?: Readonly<Record<string, string>>;
}

/** The node leaves: callers' connections that carry no request are closed. */
interface CloseIdleConnections {
  readonly type: 'closeIdleConnections';
}

/** All requests are answered and all leases released: the process may end. */
interface Exit {
  readonly type: 'exit';
}

/** What the runtime is asked to do. Effects are plain data. */
export type Effect =
  | StartAttempt
  | CancelAttempt
  | Refuse
  | AnswerKept
  | FinishAnswer
  | CloseIdleConnections
  | CallStore
  | PeerSend
  | PeerAsk
  | PeerAnswer
  | SetPeers
  | SetPolls
  | SendOrder
  | AnswerOperator
  | Log
  | Metric
  | Exit;
