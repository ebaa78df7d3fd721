import type {RequestRecord, ServingStep} from '../types.js';
import type {Run} from './types.js';
import {endAttempt} from '../end_attempt.js';
import {endForward} from '../forwarding/index.js';
import {endPeerProbes} from '../closes/end_peer_probes.js';

/** Cancels a run of a request, and removes it from the counters. */
export function cancelRun(
  {state, effects}: ServingStep,
  record: RequestRecord,
  {attempt, forward}: Run,
): void {
  if (attempt) {
    const {attemptId, vmId, closed} = attempt;
    if (closed?.isRefused) endPeerProbes(state, vmId);
    effects.push({type: 'cancelAttempt', attemptId});
    endAttempt(state, record, attempt);
  }
  if (forward) {
    const {attemptId} = forward;
    effects.push({type: 'cancelAttempt', attemptId});
    endForward(state, record, forward);
  }
}
