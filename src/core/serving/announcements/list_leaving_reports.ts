import type {ServingState} from '../types.js';
import type {LeavingReport} from './types.js';
import {LEAVING_REPORT_TTL_MS} from './leaving_report_ttl_ms.js';

/** Maximum number of engines in one datagram; the newest are kept. */
const MAX_LEAVING = 60;

/** Lists the leaving engines to include in digests, without expired announcements. */
export function listLeavingReports(
  {announcements}: ServingState,
  nowMs: number,
): LeavingReport[] {
  return [...announcements.leaving]
    .filter(([, {atMs}]) => nowMs - atMs < LEAVING_REPORT_TTL_MS)
    .slice(-MAX_LEAVING)
    .map(([vmId, {bornAtMs, atMs}]) => ({
      vmId,
      bornAtMs,
      ageMs: Math.max(0, Math.round(nowMs - atMs)),
    }));
}
