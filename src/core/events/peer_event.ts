import type {CoreArea} from './core_area.js';
import type {NodeId, OperationId} from '../ids/index.js';
import type {PeerMessage} from '../peers/types.js';

/** Messages of one exchange, sent by a peer without awaiting an answer. */
interface PeerExchanged {
  readonly type: 'peerExchanged';
  readonly from: NodeId;
  readonly messages: readonly PeerMessage[];
}

/** A question of a peer; answered with a `peerAnswer` effect. */
interface PeerAsked {
  readonly type: 'peerAsked';
  readonly from: NodeId;
  readonly callId: OperationId;
  readonly message: PeerMessage;
}

/** Result of a `peerAsk` effect. No answer: the peer may or may not have seen the question. */
interface PeerAnswered {
  readonly type: 'peerAnswered';
  readonly area: CoreArea;
  readonly from: NodeId;
  readonly callId: OperationId;
  readonly message?: PeerMessage;
}

/** What reaches this node from its peers. */
export type PeerEvent = PeerExchanged | PeerAsked | PeerAnswered;
