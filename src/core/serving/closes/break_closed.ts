import type {AttemptRecord, ServingStep} from '../types.js';
import {attemptHandlers} from '../attempt_handlers.js';
import {crashDetection} from '../crashes/index.js';
import {endPeerProbes} from './end_peer_probes.js';

/** Fails the attempt whose body closed; `proof` says why it counts as cut off. */
export function breakClosed(
  step: ServingStep,
  {attemptId, vmId, bornAtMs, closed}: AttemptRecord,
  proof: string,
): void {
  if (closed?.isRefused) endPeerProbes(step.state, vmId);
  step.effects.push({type: 'cancelAttempt', attemptId});
  attemptHandlers.failed(step, attemptId, {
    fault: 'broken',
    detail: `body ended with its process: ${proof}`,
  });
  // The loss may be known already: then the request belongs to its report.
  const {lostEngines} = step.state;
  if (lostEngines.get(vmId)?.bornAtMs === bornAtMs) {
    crashDetection.confirm(step, vmId);
  }
}
