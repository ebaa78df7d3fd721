import type {RequestOutcome} from './request_outcome.js';

/** Whether a request was answered completely within its deadline. */
export function isInDeadline({request, endedAtMs}: RequestOutcome): boolean {
  if (endedAtMs === undefined) return false;
  return endedAtMs <= request.atMs + request.deadlineMs;
}
