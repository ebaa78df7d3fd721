import type {CrashState} from './types.js';
import {listMarkers} from './list_markers.js';

/** Removes a report, and what is known of the markers that no later one holds. */
export function removeCrashReport(crashes: CrashState, key: string): void {
  const {reports, lastLossAtMs, survivals} = crashes;
  const report = reports.get(key);
  if (!report) return;
  reports.delete(key);
  crashes.isStale = true;
  for (const marker of listMarkers(report)) {
    if ((lastLossAtMs.get(marker) ?? Infinity) > report.atMs) continue;
    lastLossAtMs.delete(marker);
    survivals.delete(marker);
  }
}
