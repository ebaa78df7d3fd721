import type {RequestRecord} from '../types.js';

/** Whether a request must not be sent to a cold engine: one has failed it, or is silent. What another node's attempts met is unknown. */
export function avoidsCold({
  request,
  attempt,
  hasFailedCold,
}: RequestRecord): boolean {
  const hasRunElsewhere = (request.forwarded?.priorRunCount ?? 0) > 0;
  return hasRunElsewhere || !!hasFailedCold || !!attempt?.isCold;
}
