import type {NodeState} from '../state/types.js';

/**
 * Whether this node certainly holds its lease. Work that only one node may do at
 * a time is done only while this is true. After a pause of the process, authority
 * is dropped before any other event is handled.
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
