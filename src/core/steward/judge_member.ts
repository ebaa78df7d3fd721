import type {MemberCondition, ReplicaTrack} from './types.js';
import type {ServingState} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {hasSaidToLeave} from '../serving/announcements/index.js';
import {isKnownLost} from '../serving/is_known_lost.js';
import {replicaKey} from '../fleet/index.js';

/** Judges a member of a replica by what the store, probes and the engine itself said last. */
export function judgeMember(
  state: ServingState,
  track: ReplicaTrack,
  vmId: VmId,
): MemberCondition {
  const engine = state.engines.get(vmId);
  if (!engine || engine.bornAtMs !== track.bornAtMs.get(vmId)) return 'lost';
  if (isKnownLost(state, engine)) return 'lost';
  const {membership} = engine;
  const isIn =
    membership !== undefined &&
    replicaKey(membership.replicaId, membership.epoch) === track.key;
  if (!isIn) return 'not-joined';
  return hasSaidToLeave(state, engine) ? 'leaving' : 'sound';
}
