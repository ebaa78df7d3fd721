import type {LimitReport} from './types.js';
import type {ServingState} from '../types.js';

/** Limit on the reports in one datagram; the newest are kept. */
const MAX_REPORTS = 60;
/** How long the end of a limit is reported; digests have reached all nodes by then. */
const END_REPORT_MS = 10_000;

/** Lists the limits that engines name, and those that have ended lately. */
export function listLimitReports(
  {rateLimits}: ServingState,
  nowMs: number,
): LimitReport[] {
  return [...rateLimits.limits]
    .filter(
      ([, {perS, atMs}]) => perS !== undefined || nowMs - atMs <= END_REPORT_MS,
    )
    .sort(([, a], [, b]) => b.atMs - a.atMs)
    .slice(0, MAX_REPORTS)
    .map(([vmId, {bornAtMs, perS, atMs}]) => ({
      vmId,
      bornAtMs,
      ...(perS === undefined ? {} : {perS}),
      ageMs: Math.max(0, Math.round(nowMs - atMs)),
    }));
}
