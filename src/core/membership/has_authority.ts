import type {NodeState} from '../state/types.js';

/**
 * Whether this node surely holds its lease. What needs to be done by one node
 * alone is done only while this is true; a node that was paused has lost it
 * before it handles anything else.
 */
export function hasAuthority(state: NodeState, nowMs: number): boolean {
  const {membership} = state;
  return (
    membership.isRegistered &&
    !membership.isSuperseded &&
    nowMs >= membership.authorityFromMs &&
    nowMs < membership.leaseSafeUntilMs
  );
}
