import type {CrashReport, CrashState, PartLosses} from './types.js';
import type {PromptPartId} from '../../ids/index.js';
import {separateLosses} from './separate_losses.js';

/** Runs assumed before any are observed. */
const PRIOR_CRASHED = 1;
const PRIOR_SURVIVED = 4;

interface CoincidenceOptions {
  /** Parts whose runs are no sample of sound ones. */
  readonly unproven: ReadonlySet<PromptPartId>;
  readonly nodeCount: number;
}

/** Estimates the probability, 0 to 1, that a sound part was in all of the losses, from the runs without it or an unproven part since the first of them. */
export function estimateCoincidence(
  crashes: CrashState,
  partId: PromptPartId,
  losses: PartLosses,
  {unproven, nodeCount}: CoincidenceOptions,
): number {
  const excluded = new Set([...unproven, partId]);
  const lossTimes = new Set(separateLosses(losses.reports));
  let chance = 1;
  for (const {atMs, pool} of losses.reports) {
    if (!lossTimes.delete(atMs)) continue;
    const first = losses.reports.find(report => report.pool === pool)!;
    const crashed = countOtherRuns(crashes, excluded, first);
    const survived =
      (crashes.survivedByPool.get(pool) ?? 0) - first.survivedBefore;
    // Callers spread over all nodes, so the others have about as many runs.
    const runs = crashed + survived * nodeCount;
    chance *=
      (crashed + PRIOR_CRASHED) / (runs + PRIOR_CRASHED + PRIOR_SURVIVED);
  }
  return chance;
}

/** Counts the runs without the excluded parts in the first report's pool that crashed before they began to answer, from that report on. */
function countOtherRuns(
  {reports}: CrashState,
  excluded: ReadonlySet<PromptPartId>,
  {pool, atMs}: CrashReport,
): number {
  let count = 0;
  for (const report of reports.values()) {
    if (report.pool !== pool || report.atMs < atMs) continue;
    for (const partIds of report.runs.values()) {
      if (partIds.length === 0) continue;
      if (!partIds.some(one => excluded.has(one))) count += 1;
    }
  }
  return count;
}
