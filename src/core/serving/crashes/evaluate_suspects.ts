import type {
  CrashMarker,
  CrashReport,
  CrashState,
  CrashSuspect,
} from './types.js';
import type {Fingerprint, PromptPartId} from '../../ids/index.js';
import {resolveRefusalEndMs} from './resolve_refusal_end_ms.js';
import {separateLosses} from './separate_losses.js';

/** Losses of requests with the same content, or with a part, from which on they are not sent; fewer may be coincidence. */
const MIN_REQUEST_LOSSES = 2;
const MIN_PART_LOSSES = 3;
/** How long a suspect is refused at first. */
const REFUSAL_MS = 60_000;
/** For a part that was sound until lately, and may be so: its trials crash at most three engines in the first minute. */
const SOUND_PART_REFUSAL_MS = 10_000;
/** A part is suspect only if other runs crash so rarely that its losses have at most this probability for a sound part. */
const MAX_COINCIDENCE = 0.005;
/** Time in which a run of a sound part would begin to answer at another target. */
const MIN_OBSERVATION_MS = 1000;
/** Runs assumed before any are observed. */
const PRIOR_CRASHED = 1;
const PRIOR_SURVIVED = 4;
/**
 * A part deeper in the prompt is suspected before one that has up to a third
 * more losses: what precedes a crashing part is lost with it each time, and
 * also on its own.
 */
const SPECIFIC_SHARE = 0.75;

/** The crashes that a part was in since a run with it last survived. */
interface PartLosses {
  /** Place of the part in the prompt. */
  depth: number;
  /** Oldest first. */
  readonly reports: CrashReport[];
  readonly fingerprints: Set<Fingerprint>;
}

/** What the evidence says now. */
interface Evaluation {
  readonly suspects: Map<CrashMarker, CrashSuspect>;
  /** Crashes that suspect parts explain. */
  readonly explained: ReadonlySet<CrashReport>;
  /** Some part has enough losses, but has not been observed for long enough, or beside too few other runs. */
  readonly hasCandidate: boolean;
}

/**
 * Derives the suspects from the crash reports: the smallest set of parts that
 * explains the crashes, and requests that crashed targets without such a part.
 * A sound part that was on the same targets by chance is left out, as the
 * suspect explains its losses.
 */
export function evaluateSuspects(
  crashes: CrashState,
  nodeCount: number,
  nowMs: number,
): Evaluation {
  const suspects = new Map<CrashMarker, CrashSuspect>();
  const explained = new Set<CrashReport>();
  const reports = [...crashes.reports.values()].sort((a, b) => a.atMs - b.atMs);
  const candidates = collectPartLosses(crashes, reports);
  let hasCandidate = false;
  for (;;) {
    const next = selectPart(candidates, explained);
    if (!next) break;
    const [partId, losses] = next;
    candidates.delete(partId);
    const lossTimes = separateLosses(losses.reports);
    const chance = estimateCoincidence(crashes, partId, losses, nodeCount);
    const observedMs = nowMs - losses.reports[0]!.atMs;
    if (chance > MAX_COINCIDENCE || observedMs < MIN_OBSERVATION_MS) {
      hasCandidate = true;
      continue;
    }
    for (const report of losses.reports) explained.add(report);
    const wasSound = crashes.soundPartIds.has(partId);
    const refusalMs = wasSound ? SOUND_PART_REFUSAL_MS : REFUSAL_MS;
    suspects.set(partId, createSuspect('part', lossTimes, refusalMs));
  }
  for (const [fingerprint, all] of collectRequestLosses(crashes, reports)) {
    const lossTimes = all
      .filter(report => !explained.has(report))
      .map(({atMs}) => atMs);
    if (lossTimes.length < MIN_REQUEST_LOSSES) continue;
    suspects.set(fingerprint, createSuspect('request', lossTimes, REFUSAL_MS));
  }
  return {suspects, explained, hasCandidate};
}

function collectPartLosses(
  {survivals}: CrashState,
  reports: readonly CrashReport[],
): Map<PromptPartId, PartLosses> {
  const byPart = new Map<PromptPartId, PartLosses>();
  for (const report of reports) {
    for (const [fingerprint, sharedPartIds] of report.runs) {
      for (const [depth, partId] of sharedPartIds.entries()) {
        const survival = survivals.get(partId);
        if (survival && survival.atMs >= report.atMs) continue;
        let losses = byPart.get(partId);
        if (!losses) {
          losses = {depth, reports: [], fingerprints: new Set()};
          byPart.set(partId, losses);
        }
        losses.depth = Math.max(losses.depth, depth);
        losses.fingerprints.add(fingerprint);
        if (losses.reports.at(-1) !== report) losses.reports.push(report);
      }
    }
  }
  return byPart;
}

function collectRequestLosses(
  {survivals}: CrashState,
  reports: readonly CrashReport[],
): Map<Fingerprint, CrashReport[]> {
  const byRequest = new Map<Fingerprint, CrashReport[]>();
  for (const report of reports) {
    for (const fingerprint of report.runs.keys()) {
      const survival = survivals.get(fingerprint);
      if (survival && survival.atMs >= report.atMs) continue;
      const losses = byRequest.get(fingerprint);
      if (losses) losses.push(report);
      else byRequest.set(fingerprint, [report]);
    }
  }
  return byRequest;
}

/** Selects the part that explains most of the crashes left, and among parts that explain nearly as many the deepest. */
function selectPart(
  candidates: ReadonlyMap<PromptPartId, PartLosses>,
  explained: ReadonlySet<CrashReport>,
): [PromptPartId, PartLosses] | undefined {
  const left = [...candidates].flatMap(([partId, losses]) => {
    const unexplained = losses.reports.filter(one => !explained.has(one));
    const count = separateLosses(unexplained).length;
    // One request alone may crash as many targets; that says nothing of its parts.
    const isShared = losses.fingerprints.size > 1;
    return count >= MIN_PART_LOSSES && isShared
      ? [{partId, losses, count}]
      : [];
  });
  const most = Math.max(0, ...left.map(({count}) => count));
  const [best] = left
    .filter(({count}) => count >= SPECIFIC_SHARE * most)
    .sort((a, b) => b.losses.depth - a.losses.depth || b.count - a.count);
  return best && [best.partId, best.losses];
}

/** Estimates the probability, 0 to 1, that a sound part was in all of the losses, from the runs without it since the first of them. */
function estimateCoincidence(
  crashes: CrashState,
  partId: PromptPartId,
  losses: PartLosses,
  nodeCount: number,
): number {
  const lossTimes = new Set(separateLosses(losses.reports));
  let chance = 1;
  for (const {atMs, pool} of losses.reports) {
    if (!lossTimes.delete(atMs)) continue;
    const first = losses.reports.find(report => report.pool === pool)!;
    const crashed = countOtherRuns(crashes, partId, first);
    const survived =
      (crashes.survivedByPool.get(pool) ?? 0) - first.survivedBefore;
    // Callers spread over all nodes, so the others have about as many runs.
    const runs = crashed + survived * nodeCount;
    chance *=
      (crashed + PRIOR_CRASHED) / (runs + PRIOR_CRASHED + PRIOR_SURVIVED);
  }
  return chance;
}

/** Counts the runs without the part in the first report's pool that crashed before they began to answer, from that report on. */
function countOtherRuns(
  {reports}: CrashState,
  partId: PromptPartId,
  {pool, atMs}: CrashReport,
): number {
  let count = 0;
  for (const report of reports.values()) {
    if (report.pool !== pool || report.atMs < atMs) continue;
    for (const partIds of report.runs.values()) {
      if (partIds.length > 0 && !partIds.includes(partId)) count += 1;
    }
  }
  return count;
}

function createSuspect(
  kind: CrashSuspect['kind'],
  lossTimes: readonly number[],
  refusalMs: number,
): CrashSuspect {
  const minLosses = kind === 'part' ? MIN_PART_LOSSES : MIN_REQUEST_LOSSES;
  return {
    kind,
    losses: lossTimes.length,
    lastLossAtMs: lossTimes.at(-1)!,
    untilMs: resolveRefusalEndMs(lossTimes, {minLosses, refusalMs}),
    isDerived: true,
  };
}
