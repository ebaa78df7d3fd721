import type {ReplicaTrack} from './types.js';
import type {ServingState} from '../serving/types.js';
import {isEvacuated} from '../serving/evacuation/index.js';

/** Whether the head of a replica is in an evacuated zone. */
export function isEvacuatedTrack(
  state: ServingState,
  {members}: ReplicaTrack,
): boolean {
  const head = members[0] && state.engines.get(members[0]);
  return head !== undefined && isEvacuated(state, head.zone);
}
