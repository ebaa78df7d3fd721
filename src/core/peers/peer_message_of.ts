import type {PeerMessage} from './peer_message.js';

/** The peer message with the given `type`. */
export type PeerMessageOf<T extends PeerMessage['type']> = Extract<
  PeerMessage,
  {type: T}
>;
