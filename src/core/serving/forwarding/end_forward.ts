import type {ForwardRecord} from './types.js';
import type {RequestRecord, ServingState} from '../types.js';

/** Removes a forward from its request and the counters. */
export function endForward(
  {forwarding}: ServingState,
  record: RequestRecord,
  forward: ForwardRecord,
): void {
  const {attemptId, nodeId} = forward;
  forwarding.byAttempt.delete(attemptId);
  const left = (forwarding.inFlight.get(nodeId) ?? 1) - 1;
  if (left > 0) forwarding.inFlight.set(nodeId, left);
  else forwarding.inFlight.delete(nodeId);
  if (record.forward === forward) record.forward = undefined;
  else record.silentRun = undefined;
}
