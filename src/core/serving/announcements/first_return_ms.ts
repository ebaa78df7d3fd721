import type {ServingState} from '../types.js';

/** Time until the first target of a pool takes requests again; undefined unless all of them want none. */
export function firstReturnMs(
  state: ServingState,
  pool: string,
  nowMs: number,
): number | undefined {
  const targets = state.targetsByPool.get(pool) ?? [];
  let untilMs = Infinity;
  for (const {vmId} of targets) {
    const quietUntilMs = state.announcements.quiet.get(vmId) ?? -Infinity;
    if (quietUntilMs <= nowMs) return undefined;
    untilMs = Math.min(untilMs, quietUntilMs);
  }
  return targets.length === 0 ? undefined : untilMs - nowMs;
}
