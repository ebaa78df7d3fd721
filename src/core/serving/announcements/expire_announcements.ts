import type {ServingState} from '../types.js';
import {LEAVING_REPORT_TTL_MS} from './leaving_report_ttl_ms.js';
import {markTargetsStale} from '../mark_targets_stale.js';

/** Removes expired back-offs, and leaving engines that are unknown or restarted, or whose announcement reached only peers and has expired. */
export function expireAnnouncements(state: ServingState, nowMs: number): void {
  const {backoffUntilMs, leaving} = state.announcements;
  for (const [vmId, untilMs] of backoffUntilMs) {
    if (untilMs <= nowMs) backoffUntilMs.delete(vmId);
  }
  for (const [vmId, {bornAtMs, atMs, isFirstHand}] of leaving) {
    const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
    const isOld = !isFirstHand && nowMs - atMs >= LEAVING_REPORT_TTL_MS;
    if (engine?.bornAtMs === bornAtMs && !isOld) continue;
    leaving.delete(vmId);
    markTargetsStale(state);
  }
}
