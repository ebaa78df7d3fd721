import type {RequestRecord, ServingStep} from './types.js';
import {endPeerProbes} from './closes/end_peer_probes.js';
import {endAttempt} from './end_attempt.js';
import {endForward} from './forwarding/index.js';

/** Removes a request that has its final response or whose caller has disconnected, and cancels an attempt that is still running. */
export function removeRequest(step: ServingStep, record: RequestRecord): void {
  const {state} = step;
  if (record.attempt) {
    const {attemptId, vmId, closed} = record.attempt;
    if (closed?.isRefused) endPeerProbes(state, vmId);
    step.effects.push({type: 'cancelAttempt', attemptId});
    endAttempt(state, record);
  }
  if (record.forward) {
    const {attemptId} = record.forward;
    step.effects.push({type: 'cancelAttempt', attemptId});
    endForward(state, record);
  }
  const waiting = state.waitingByPool.get(record.pool);
  const index = waiting?.indexOf(record) ?? -1;
  if (index >= 0) waiting!.splice(index, 1);
  state.requests.delete(record.request.requestId);
}
