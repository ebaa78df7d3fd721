import type {CrashReport, CrashState, PartLosses} from './types.js';
import type {PromptPartId} from '../../ids/index.js';
import {MIN_PART_LOSSES} from './min_part_losses.js';

/** Collects the losses of parts that have enough of them since a run with the part last survived; `reports` are in order of time. */
export function collectPartLosses(
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
  for (const [partId, losses] of byPart) {
    if (losses.reports.length < MIN_PART_LOSSES) byPart.delete(partId);
  }
  return byPart;
}
