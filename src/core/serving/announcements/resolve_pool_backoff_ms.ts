import type {ServingState} from '../types.js';

/** Returns the time until the first target of a pool accepts requests again; undefined if the pool is empty or any target accepts them now. */
export function resolvePoolBackoffMs(
  state: ServingState,
  pool: string,
  nowMs: number,
): number | undefined {
  const targets = state.targetsByPool.get(pool) ?? [];
  let untilMs = Infinity;
  for (const {vmId} of targets) {
    const backoffUntilMs =
      state.announcements.backoffUntilMs.get(vmId) ?? -Infinity;
    if (backoffUntilMs <= nowMs) return undefined;
    untilMs = Math.min(untilMs, backoffUntilMs);
  }
  return targets.length === 0 ? undefined : untilMs - nowMs;
}
