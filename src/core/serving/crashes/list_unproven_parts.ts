import type {CrashState, PartLosses} from './types.js';
import type {PromptPartId} from '../../ids/index.js';
import {MIN_PART_LOSSES} from './min_part_losses.js';
import {separateLosses} from './separate_losses.js';

/**
 * Lists the candidates with which no run is known to have survived, ever.
 *
 * Where several parts crash engines, the runs of each would otherwise be taken
 * for sound ones that crash often, so that none of the parts becomes a suspect.
 */
export function listUnprovenParts(
  {soundPartIds, survivals}: CrashState,
  candidates: ReadonlyMap<PromptPartId, PartLosses>,
): Set<PromptPartId> {
  const unproven = new Set<PromptPartId>();
  for (const [partId, {reports, fingerprints}] of candidates) {
    if (soundPartIds.has(partId) || survivals.has(partId)) continue;
    // A node that had seen no run survive, as after a restart, can't tell new parts from those that were sound.
    if (reports[0]!.survivedBefore === 0 || fingerprints.size < 2) continue;
    if (separateLosses(reports).length >= MIN_PART_LOSSES) unproven.add(partId);
  }
  return unproven;
}
