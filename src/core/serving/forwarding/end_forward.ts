import type {RequestRecord, ServingState} from '../types.js';

/** Removes a request's current forward from the counters. */
export function endForward(
  {forwarding}: ServingState,
  record: RequestRecord,
): void {
  const {forward} = record;
  if (!forward) return;
  const {attemptId, nodeId} = forward;
  forwarding.byAttempt.delete(attemptId);
  const left = (forwarding.inFlight.get(nodeId) ?? 1) - 1;
  if (left > 0) forwarding.inFlight.set(nodeId, left);
  else forwarding.inFlight.delete(nodeId);
  record.forward = undefined;
}
