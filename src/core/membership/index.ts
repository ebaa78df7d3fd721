export {createMembershipState} from './create_membership_state.js';
export {livePeers} from './live_peers.js';
export {reduceMembership} from './reduce_membership.js';
export type * from './types.js';
