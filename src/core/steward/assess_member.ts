import type {MemberCondition, ReplicaTrack} from './types.js';
import type {ServingState} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {isLeavingConfirmed} from '../serving/announcements/index.js';
import {isLostEngine} from '../serving/is_lost_engine.js';
import {replicaKey} from '../fleet/index.js';

/** Determines the condition of a member of a replica from its record in the store, probe results and its own announcements. */
export function assessMember(
  state: ServingState,
  track: ReplicaTrack,
  vmId: VmId,
): MemberCondition {
  const engine = state.engines.get(vmId);
  if (!engine || engine.bornAtMs !== track.bornAtMs.get(vmId)) return 'lost';
  if (isLostEngine(state, engine)) return 'lost';
  const {membership} = engine;
  const isMember =
    membership !== undefined &&
    replicaKey(membership.replicaId, membership.epoch) === track.key;
  if (!isMember) return 'not-joined';
  return isLeavingConfirmed(state, engine) ? 'leaving' : 'sound';
}
