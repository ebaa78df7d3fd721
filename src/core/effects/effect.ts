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
  /** True for unrepeatable requests, which use a connection that no other request has used. */
  readonly freshConnection: boolean;
  /** Continues after the tokens that the caller has already received. */
  readonly resume: boolean;
  /** Engine priority: larger goes first. */
  readonly priority: number;
  readonly deadlineAtMs: number;
}

/** Ends an attempt: the target's work is cancelled, the response to the caller stays open. */
interface CancelAttempt {
  readonly type: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** Final answer to a caller that receives no, or no further, bytes from a target. */
interface Refuse {
  readonly type: 'refuse';
  readonly requestId: RequestId;
  readonly refusal: Refusal;
  /** Alternative nodes, for refusals by a node that is draining or has no configuration. */
  readonly entries?: readonly Entry[];
}

/** Final answer with the stored response of an earlier run. */
interface AnswerKept {
  readonly type: 'answerKept';
  readonly requestId: RequestId;
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Ends the response after `attemptEnded`: the caller has received it in full. */
interface FinishAnswer {
  readonly type: 'finishAnswer';
  readonly requestId: RequestId;
}

/** Calls the store; the result comes back as a `storeResult` event. */
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
  /** Sends the exchange now, with all messages that wait for this peer. */
  readonly urgent?: boolean;
}

/** Sends a query to a peer; the result comes back as a `peerAnswered` event. */
interface PeerAsk {
  readonly type: 'peerAsk';
  readonly area: CoreArea;
  readonly to: NodeId;
  readonly callId: OperationId;
  readonly timeoutMs: number;
  readonly message: PeerMessage;
}

/** Answers a peer's query, the `peerAsked` event with the same `callId`. */
interface PeerAnswer {
  readonly type: 'peerAnswer';
  readonly callId: OperationId;
  readonly message: PeerMessage;
}

/** Sets the addresses at which the runtime reaches peers; absent peers are removed. */
interface SetPeers {
  readonly type: 'setPeers';
  readonly peers: readonly {
    readonly nodeId: NodeId;
    readonly address: string;
  }[];
}

/** Sets the VMs that the runtime polls for reports, and the interval. */
interface SetPolls {
  readonly type: 'setPolls';
  readonly polls: readonly {readonly vmId: VmId; readonly address: string}[];
  readonly intervalMs: number;
}

/** Sends an order to an engine; the result comes back as an `orderResult` event. */
interface SendOrder {
  readonly type: 'sendOrder';
  readonly orderId: OrderId;
  readonly vmId: VmId;
  readonly address: string;
  readonly fencingToken: number;
  readonly timeoutMs: number;
  /** After this time no byte of the order may be written. */
  readonly notAfterMs: number;
  /** Undefined: the engine releases its current assignment. */
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

/** Closes callers' connections that carry no request, because the node is draining. */
interface CloseIdleConnections {
  readonly type: 'closeIdleConnections';
}

/** Lets the process end: all requests are answered and all leases released. */
interface Exit {
  readonly type: 'exit';
}

/** An action for the runtime to execute, as plain data. */
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
