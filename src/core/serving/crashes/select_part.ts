import type {CrashReport, PartLosses} from './types.js';
import type {PromptPartId} from '../../ids/index.js';
import {MIN_PART_LOSSES} from './min_part_losses.js';
import {separateLosses} from './separate_losses.js';

/**
 * A part deeper in the prompt is suspected before one that has up to a third
 * more losses: what precedes a crashing part is lost with it each time, and
 * also on its own.
 */
const SPECIFIC_SHARE = 0.75;

/** Selects the part that explains most of the crashes left, and among parts that explain nearly as many the deepest. */
export function selectPart(
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
