import type {LoadDigest, ServingStep} from '../types.js';
import {addCrashReport} from './add_crash_report.js';
import {addSurvival} from './add_survival.js';
import {logDecision} from '../log_decision.js';

/** Adds a peer's crash reports, survivals and suspects to this node's own. */
export function applyCrashEvidence(
  step: ServingStep,
  {from, crashReports, survivals, suspects}: LoadDigest,
): void {
  const {state, nowMs} = step;
  const {crashes} = state;
  for (const report of crashReports) addCrashReport(crashes, report, nowMs);
  for (const {marker, ageMs} of survivals) {
    addSurvival(crashes, marker, nowMs - ageMs, nowMs);
  }
  for (const {marker, kind, losses, lastLossAgeMs, leftMs} of suspects) {
    const lastLossAtMs = nowMs - lastLossAgeMs;
    const survivedAtMs = crashes.survivals.get(marker)?.atMs ?? -Infinity;
    if (crashes.suspects.has(marker) || survivedAtMs >= lastLossAtMs) continue;
    crashes.suspects.set(marker, {
      kind,
      losses,
      lastLossAtMs,
      untilMs: nowMs + leftMs,
      isDerived: false,
    });
    crashes.isStale = true;
    logDecision(step, 'info', 'requests', 'peer reports crash suspect', {
      marker,
      kind,
      losses,
      leftMs,
      peer: from,
    });
  }
}
