export type {Peer} from './peer.js';
export type {MembershipState} from './membership_state.js';
