import type {NodeId, OperationId} from '../core/ids/index.js';
import type {PeerMessage} from '../core/peers/types.js';

/** What the router hands the calls of peers to. */
export interface PeerCalls {
  exchange(from: NodeId, messages: readonly PeerMessage[]): void;
  /** Settles with nothing when the asker is gone or no answer came in time. */
  ask(
    from: NodeId,
    callId: OperationId,
    message: PeerMessage,
    gone: AbortSignal,
  ): Promise<PeerMessage | undefined>;
}
