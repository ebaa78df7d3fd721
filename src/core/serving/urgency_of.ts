import type {RequestRecord} from './types.js';

/** Urgency classes that a target knows: 0 is admitted first. */
const MAX_URGENCY = 9;
/** Classes that one step of priority spans, so that lateness orders requests within a priority only. */
const CLASSES_PER_PRIORITY = 2;

/**
 * Class by which a target admits a request that finds no free slot.
 *
 * Requests that can still meet their goal go before those that are late: at a
 * crest a strict order of arrival would make all of them late.
 */
export function urgencyOf(record: RequestRecord, nowMs: number): number {
  const isLate = nowMs >= record.goalAtMs && !record.hasAnswer;
  const urgency = record.priority * CLASSES_PER_PRIORITY + (isLate ? 1 : 0);
  return Math.min(MAX_URGENCY, Math.max(0, urgency));
}
