export type {Peer} from './peer.js';
export type {MembershipState} from './membership_state.js';
export type {StoreHealth} from './store_health.js';
