import type {RequestRecord} from './types.js';

/** Highest urgency class of a target; class 0 is admitted first. */
const MAX_URGENCY = 9;
/** Classes per priority level, so that lateness orders requests only within a priority. */
const CLASSES_PER_PRIORITY = 2;

/**
 * Returns the class by which a target admits a request when no slot is free.
 *
 * Requests that can still meet their latency goal precede late ones: during a load
 * peak, strict order of arrival would make all of them late.
 */
export function resolveUrgency(record: RequestRecord, nowMs: number): number {
  const isLate = nowMs >= record.goalAtMs && !record.hasPartialResponse;
  const urgency = record.priority * CLASSES_PER_PRIORITY + (isLate ? 1 : 0);
  return Math.min(MAX_URGENCY, Math.max(0, urgency));
}
