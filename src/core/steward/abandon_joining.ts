import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {dissolveReplica} from './dissolve_replica.js';
import {isOfCurrentTerm} from './is_of_current_term.js';
import {releaseReplica} from './release_replica.js';
import {setPhase} from './set_phase.js';

/** Abandons a joining replica. Only the steward that joined a replica can be sure that it was never opened: the head of an adopted one may serve, although its last record says `ready`. */
export function abandonJoining(
  step: ServingStep,
  track: ReplicaTrack,
  cause: string,
): void {
  if (isOfCurrentTerm(step.state.steward, track.epoch)) {
    releaseReplica(step, track, `never opened; ${cause}`);
    return;
  }
  setPhase(step, track, 'leaving', cause);
  dissolveReplica(step, track);
}
