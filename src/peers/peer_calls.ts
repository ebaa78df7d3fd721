import type {NodeId, OperationId} from '../core/ids/index.js';
import type {PeerMessage} from '../core/peers/types.js';

/** Handlers of the calls that the router receives from peers. */
export interface PeerCalls {
  exchange(from: NodeId, messages: readonly PeerMessage[]): void;
  /** Resolves to undefined when the caller has disconnected or no answer arrived in time. */
  ask(
    from: NodeId,
    callId: OperationId,
    message: PeerMessage,
    gone: AbortSignal,
  ): Promise<PeerMessage | undefined>;
}
