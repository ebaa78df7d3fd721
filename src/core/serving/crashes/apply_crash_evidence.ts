import type {LoadDigest, ServingStep} from '../types.js';
import {addCrashReport} from './add_crash_report.js';
import {MIN_REQUEST_LOSSES} from './min_request_losses.js';
import {addSurvival} from './add_survival.js';
import {logDecision} from '../log_decision.js';

/** Ages in digests are rounded and leave out the time on the way, which may include a wait for a busy node. */
const MAX_AGE_ERROR_MS = 300;

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
    // Nodes of an earlier build report single losses too.
    if (losses < MIN_REQUEST_LOSSES) continue;
    const lastLossAtMs = nowMs - lastLossAgeMs;
    const survivedAtMs = crashes.survivals.get(marker)?.atMs ?? -Infinity;
    if (crashes.suspects.has(marker) || survivedAtMs >= lastLossAtMs) continue;
    const clearedAtMs = crashes.cleared.get(marker) ?? -Infinity;
    if (lastLossAtMs <= clearedAtMs + MAX_AGE_ERROR_MS) continue;
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
