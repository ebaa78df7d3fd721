import type {ServingState} from '../types.js';
import {removeCrashReport} from './remove_crash_report.js';

/** Longer than the longest refusal of a suspect, so that a loss in a trial adds to the earlier ones. */
const REPORT_TTL_MS = 2 * 3_600_000;

/** Drops old reports, and suspects whose refusal has ended, unless the reports still show them: these are tried again. */
export function expireCrashes({crashes}: ServingState, nowMs: number): void {
  for (const [key, {atMs}] of crashes.reports) {
    if (nowMs - atMs > REPORT_TTL_MS) removeCrashReport(crashes, key);
  }
  for (const [marker, {untilMs, isDerived}] of crashes.suspects) {
    if (!isDerived && untilMs <= nowMs) crashes.suspects.delete(marker);
  }
}
