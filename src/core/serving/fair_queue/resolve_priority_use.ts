import type {PoolWork, PriorityUse} from './types.js';

/** Returns the counts of a priority, and creates them if there are none. */
export function resolvePriorityUse(
  {byPriority}: PoolWork,
  priority: number,
  nowMs: number,
): PriorityUse {
  let use = byPriority.get(priority);
  if (!use) {
    const none = {count: 0, atMs: nowMs};
    use = {arrivals: none, dispatches: none, tokens: none};
    byPriority.set(priority, use);
  }
  return use;
}
