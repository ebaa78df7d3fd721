import type {AttemptRecord, ServingStep} from '../types.js';
import {endPeerProbes} from './end_peer_probes.js';

/** Completes the response whose body closed; `proof` says why it counts as complete. */
export function finishClosed(
  step: ServingStep,
  {attemptId, vmId, closed}: AttemptRecord,
  proof: string,
): void {
  if (!closed || closed.proof !== undefined) return;
  closed.proof = proof;
  closed.finishedAtMs = step.nowMs;
  if (closed.isRefused) endPeerProbes(step.state, vmId);
  step.effects.push({type: 'finishAnswer', attemptId});
}
