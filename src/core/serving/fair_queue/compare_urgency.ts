import type {RequestRecord} from '../types.js';

/** Orders by priority, then requests that can still meet their goal before late ones, then by the earlier goal. */
export function compareUrgency(
  a: RequestRecord,
  b: RequestRecord,
  nowMs: number,
): number {
  if (a.priority !== b.priority) return a.priority - b.priority;
  const aLate = nowMs > a.goalAtMs ? 1 : 0;
  const bLate = nowMs > b.goalAtMs ? 1 : 0;
  return aLate - bLate || a.goalAtMs - b.goalAtMs;
}
