import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {logDecision} from '../serving/log_decision.js';

/** Frees the members of a replica whose head is known to have stopped serving, or never to have served. `proof` is logged. */
export function releaseReplica(
  step: ServingStep,
  track: ReplicaTrack,
  proof: string,
): void {
  const {steward} = step.state;
  steward.tracks.delete(track.key);
  steward.probeRequests.delete(track.members[0]!);
  steward.releasedReplicas.set(track.key, step.state.fleetRevision);
  logDecision(step, 'info', 'steward', 'replica released', {
    replica: track.replicaId,
    epoch: track.epoch,
    model: track.model,
    cause: track.cause,
    proof,
    inPhaseMs: Math.round(step.nowMs - track.phaseSinceMs),
  });
}
