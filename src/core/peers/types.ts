export type {PeerMessage} from './peer_message.js';
export type {MembershipMessage} from './membership_message.js';
export type {ConfigMessage} from './config_message.js';
export type {OnceMessage} from './once_message.js';
export type {QuarantineMessage} from './quarantine_message.js';
export type {RoutingMessage} from './routing_message.js';
export type {PeerMessageOf} from './peer_message_of.js';
