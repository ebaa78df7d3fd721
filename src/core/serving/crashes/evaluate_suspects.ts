import type {
  CrashMarker,
  CrashReport,
  CrashState,
  CrashSuspect,
} from './types.js';
import {MIN_PART_LOSSES} from './min_part_losses.js';
import {MIN_REQUEST_LOSSES} from './min_request_losses.js';
import {collectPartLosses} from './collect_part_losses.js';
import {collectRequestLosses} from './collect_request_losses.js';
import {estimateCoincidence} from './estimate_coincidence.js';
import {listUnprovenParts} from './list_unproven_parts.js';
import {resolveRefusalEndMs} from './resolve_refusal_end_ms.js';
import {selectPart} from './select_part.js';
import {separateLosses} from './separate_losses.js';

/** How long a suspect is refused at first. */
const REFUSAL_MS = 60_000;
/** For a part that was sound until lately, and may be so: trials come 10, 30 and 70 s after the losses, within the three requests that may reach engines. */
const SOUND_PART_REFUSAL_MS = 10_000;
/** A part is suspect only if other runs crash so rarely that its losses have at most this probability for a sound part. */
const MAX_COINCIDENCE = 0.005;
/** Time in which a run of a sound part would begin to answer at another target. */
const MIN_OBSERVATION_MS = 1000;

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
  const unproven = listUnprovenParts(crashes, candidates);
  let hasCandidate = false;
  for (;;) {
    const next = selectPart(candidates, explained);
    if (!next) break;
    const [partId, losses] = next;
    candidates.delete(partId);
    const lossTimes = separateLosses(losses.reports);
    const chance = estimateCoincidence(crashes, partId, losses, {
      unproven,
      nodeCount,
    });
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
