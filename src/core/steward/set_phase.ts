import type {ReplicaTrack, TrackPhase} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {logDecision} from '../serving/log_decision.js';

/** Moves a replica to a phase; the cause is logged and kept. */
export function setPhase(
  step: ServingStep,
  track: ReplicaTrack,
  phase: TrackPhase,
  cause: string,
): void {
  logDecision(step, 'info', 'steward', 'replica changes phase', {
    replica: track.replicaId,
    epoch: track.epoch,
    model: track.model,
    from: track.phase,
    to: phase,
    cause,
    inPhaseMs: Math.round(step.nowMs - track.phaseSinceMs),
    fleetRevision: step.state.fleetRevision,
  });
  track.phase = phase;
  track.phaseSinceMs = step.nowMs;
  track.cause = cause;
}
