import type {CrashMarker, CrashState} from './types.js';
import {listMarkers} from './list_markers.js';

/** Records a run with the marker that began to answer at `atMs` without a crash, if that rules out a reported crash. */
export function addSurvival(
  crashes: CrashState,
  marker: CrashMarker,
  atMs: number,
  nowMs: number,
): void {
  const lastLossAtMs = crashes.lastLossAtMs.get(marker) ?? -Infinity;
  const knownAtMs = crashes.survivals.get(marker)?.atMs ?? -Infinity;
  if (lastLossAtMs <= knownAtMs || atMs <= knownAtMs) return;
  if (!hasLossBetween(crashes, marker, knownAtMs, atMs)) return;
  crashes.survivals.set(marker, {atMs, updatedAtMs: nowMs});
  crashes.isStale = true;
}

function hasLossBetween(
  {reports}: CrashState,
  marker: CrashMarker,
  fromMs: number,
  untilMs: number,
): boolean {
  for (const report of reports.values()) {
    if (report.atMs <= fromMs || report.atMs >= untilMs) continue;
    if (listMarkers(report).includes(marker)) return true;
  }
  return false;
}
