import type {ServingState} from '../types.js';
import {LEAVING_TOLD_MS} from './leaving_told_ms.js';
import {rebuildTargets} from '../rebuild_targets.js';

/** Removes expired back-offs, and leaving engines that are unknown or restarted, or whose announcement reached only peers and has expired. */
export function expireAnnouncements(state: ServingState, nowMs: number): void {
  const {quiet: backoffUntilMs, leaving} = state.announcements;
  for (const [vmId, untilMs] of backoffUntilMs) {
    if (untilMs <= nowMs) backoffUntilMs.delete(vmId);
  }
  for (const [vmId, {bornAtMs, atMs, isOwn: isFirstHand}] of leaving) {
    const engine = state.engines.get(vmId) ?? state.departed.get(vmId);
    const isOld = !isFirstHand && nowMs - atMs >= LEAVING_TOLD_MS;
    if (engine?.bornAtMs === bornAtMs && !isOld) continue;
    leaving.delete(vmId);
    rebuildTargets(state);
  }
}
