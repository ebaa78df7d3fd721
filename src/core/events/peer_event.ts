import type {CoreArea} from './core_area.js';
import type {NodeId, OperationId} from '../ids/index.js';
import type {PeerMessage} from '../peers/types.js';

/** Messages of one exchange that a peer sent without expecting an answer. */
interface PeerExchanged {
  readonly type: 'peerExchanged';
  readonly from: NodeId;
  readonly messages: readonly PeerMessage[];
}

/** A query from a peer; answered with a `peerAnswer` effect. */
interface PeerAsked {
  readonly type: 'peerAsked';
  readonly from: NodeId;
  readonly callId: OperationId;
  readonly message: PeerMessage;
}

/** Result of a `peerAsk` effect; without a message, the peer may or may not have received the query. */
interface PeerAnswered {
  readonly type: 'peerAnswered';
  readonly area: CoreArea;
  readonly from: NodeId;
  readonly callId: OperationId;
  readonly message?: PeerMessage;
}

/** Messages and query results that this node receives from its peers. */
export type PeerEvent = PeerExchanged | PeerAsked | PeerAnswered;
