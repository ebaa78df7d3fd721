import type {EngineCosts} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';

/** Factor on the number of loads that run at full speed: a few more are started so that the next one proceeds as soon as one ends. */
const OVERCOMMIT_FACTOR = 1.5;

/** Returns how many weight loads may start now; infinite before the first request, and zero or less when none may. Beyond its limits the weight store slows down and refuses loads. */
export function countFreeLoadSlots(
  step: ServingStep,
  costs: EngineCosts,
): number {
  const {state, nowMs} = step;
  const {steward} = state;
  // Loads before the first request are fast and exempt from the limits.
  if (!steward.hasTraffic) return Infinity;
  const maxConcurrent = Math.floor(costs.concurrentLoads * OVERCOMMIT_FACTOR);
  const freeSlots = maxConcurrent - steward.weightLoadEndsMs.size;
  const {loadWindowMs} = state.bounds;
  steward.weightLoadStartsMs = steward.weightLoadStartsMs.filter(
    startMs => nowMs - startMs < loadWindowMs,
  );
  const maxPerWindow = Math.floor((costs.loadsPerS * loadWindowMs) / 1000);
  return Math.min(freeSlots, maxPerWindow - steward.weightLoadStartsMs.length);
}
