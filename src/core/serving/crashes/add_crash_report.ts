import type {CrashReportEntry, CrashState} from './types.js';
import {removeCrashReport} from './remove_crash_report.js';
import {resolveMarkers} from './resolve_markers.js';

/** Reports kept; the oldest are dropped first. */
const MAX_REPORTS = 100;
/** Runs kept of one report, to bound the size of digests. */
const MAX_RUNS = 64;

/** Adds a crash, or the runs of another node to a known one. */
export function addCrashReport(
  crashes: CrashState,
  {vmId, bornAtMs, pool, ageMs, runs}: CrashReportEntry,
  nowMs: number,
): void {
  const {reports} = crashes;
  const key = `${vmId}/${bornAtMs}`;
  let report = reports.get(key);
  if (!report) {
    report = {
      vmId,
      bornAtMs,
      pool,
      atMs: nowMs - ageMs,
      updatedAtMs: nowMs,
      runs: new Map(),
      survivedBefore: crashes.survivedByPool.get(pool) ?? 0,
    };
    reports.set(key, report);
    crashes.isStale = true;
    const [oldest] = reports.keys();
    if (reports.size > MAX_REPORTS) removeCrashReport(crashes, oldest!);
  }
  for (const {fingerprint, sharedPartIds} of runs) {
    if (report.runs.has(fingerprint) || report.runs.size >= MAX_RUNS) continue;
    report.runs.set(fingerprint, sharedPartIds);
    report.updatedAtMs = nowMs;
    crashes.isStale = true;
    for (const marker of resolveMarkers({fingerprint, sharedPartIds})) {
      const lastAtMs = crashes.lastLossAtMs.get(marker) ?? -Infinity;
      crashes.lastLossAtMs.set(marker, Math.max(lastAtMs, report.atMs));
    }
  }
}
