import type {MembershipState} from './membership_state.js';

/** Creates a view without peers. */
export function createMembershipState(): MembershipState {
  return {peers: new Map(), leaseSafeUntilMs: 0, lastTickAtMs: 0};
}
