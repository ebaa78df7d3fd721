import type {
  CrashMarker,
  CrashReport,
  CrashState,
  CrashSuspect,
} from './types.js';
import type {ServingStep} from '../types.js';
import {listMarkers} from './list_markers.js';
import {countActiveNodes} from '../count_active_nodes.js';
import {evaluateSuspects} from './evaluate_suspects.js';
import {logDecision} from '../log_decision.js';

/** Cleared suspects that are remembered; more than digests of peers that lag behind hold. */
const MAX_CLEARED = 1000;

/** Derives the suspects anew if the evidence has changed, and drops those that it has ruled out. `isTick`: a candidate may have become a suspect by the time that has passed. */
export function refreshSuspects(step: ServingStep, isTick: boolean): void {
  const {state, nowMs} = step;
  const {crashes} = state;
  if (!crashes.isStale && !(isTick && crashes.hasCandidate)) return;
  crashes.isStale = false;
  const {suspects, explained, hasCandidate} = evaluateSuspects(
    crashes,
    countActiveNodes(state, nowMs),
    nowMs,
  );
  crashes.hasCandidate = hasCandidate;
  for (const [marker, suspect] of suspects) {
    const known = crashes.suspects.get(marker);
    crashes.suspects.set(marker, suspect);
    const isNews = suspect.untilMs > (known?.untilMs ?? nowMs);
    if (!isNews) continue;
    logDecision(step, 'warn', 'requests', 'crash suspect', {
      marker,
      kind: suspect.kind,
      losses: suspect.losses,
      refusedMs: Math.round(suspect.untilMs - nowMs),
      reports: crashes.reports.size,
    });
  }
  for (const [marker, suspect] of crashes.suspects) {
    if (suspects.has(marker)) continue;
    const cause = resolveClearance(crashes, explained, marker, suspect);
    if (!cause) {
      crashes.suspects.set(marker, {...suspect, isDerived: false});
      continue;
    }
    crashes.suspects.delete(marker);
    recordClearance(crashes, marker, suspect.lastLossAtMs);
    logDecision(step, 'info', 'requests', 'crash suspect cleared', {
      marker,
      kind: suspect.kind,
      losses: suspect.losses,
      cause,
    });
  }
}

function recordClearance(
  {cleared}: CrashState,
  marker: CrashMarker,
  lastLossAtMs: number,
): void {
  cleared.delete(marker);
  cleared.set(marker, lastLossAtMs);
  const [oldest] = cleared.keys();
  if (cleared.size > MAX_CLEARED) cleared.delete(oldest!);
}

/** Why a suspect that this node's reports don't show is dropped; undefined if a peer's reports may still show it. */
function resolveClearance(
  {reports, survivals}: CrashState,
  explained: ReadonlySet<CrashReport>,
  marker: CrashMarker,
  {lastLossAtMs}: CrashSuspect,
): 'survived' | 'explained' | undefined {
  const survivedAtMs = survivals.get(marker)?.atMs ?? -Infinity;
  if (survivedAtMs >= lastLossAtMs) return 'survived';
  const losses = [...reports.values()].filter(one =>
    listMarkers(one).includes(marker),
  );
  const isExplained =
    losses.length > 0 && losses.every(report => explained.has(report));
  return isExplained ? 'explained' : undefined;
}
