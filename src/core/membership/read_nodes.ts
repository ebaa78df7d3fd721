import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {callMembershipStore} from './call_membership_store.js';
import {isCallInFlight} from './is_call_in_flight.js';
import {mayReadStore} from './may_read_store.js';
import {nodeRecord} from './node_record.js';

const {prefix} = nodeRecord;

/** Reads the node records: by a list at intervals, and, on a relay, by a watch. */
export function readNodes(step: Step): void {
  const {state, nowMs} = step;
  const {membership} = state;
  if (!mayReadStore(state, nowMs)) return;
  if (nowMs >= membership.nextListAtMs && !isCallInFlight(state, 'list')) {
    callMembershipStore(step, 'list', {kind: 'list', prefix});
    return;
  }
  const {watchedVersion} = membership;
  if (!membership.isRelay || watchedVersion === undefined) return;
  if (nowMs < membership.nextWatchAtMs || isCallInFlight(state, 'watch'))
    return;
  callMembershipStore(step, 'watch', {
    kind: 'watch',
    prefix,
    sinceVersion: watchedVersion,
    timeoutMs: MEMBERSHIP_TIMING.watchTimeoutMs,
  });
}
