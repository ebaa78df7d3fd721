import type {ConfigMessage} from './config_message.js';
import type {MembershipMessage} from './membership_message.js';
import type {OnceMessage} from './once_message.js';
import type {QuarantineMessage} from './quarantine_message.js';
import type {RoutingMessage} from './routing_message.js';

/** Any message between nodes. The prefix of `type` names the area. */
export type PeerMessage =
  | MembershipMessage
  | ConfigMessage
  | OnceMessage
  | QuarantineMessage
  | RoutingMessage;
