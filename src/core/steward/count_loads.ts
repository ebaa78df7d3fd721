import type {EngineCosts} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';

/** Loads that may run at once beyond those that run at full speed; the next are ready to start when one ends. */
const OVERLAP = 1.5;

/** How many loads of weights may start now: the store of weights slows down, and refuses, beyond its rates. */
export function countFreeLoads(step: ServingStep, costs: EngineCosts): number {
  const {state, nowMs} = step;
  const {steward} = state;
  // Loads before the first request are quick and don't count.
  if (!steward.hasTraffic) return Infinity;
  const atOnce = Math.floor(costs.concurrentLoads * OVERLAP);
  const free = atOnce - steward.loadEndsMs.size;
  const {loadWindowMs} = state.bounds;
  steward.loadStartsMs = steward.loadStartsMs.filter(
    startMs => nowMs - startMs < loadWindowMs,
  );
  const perWindow = Math.floor((costs.loadsPerS * loadWindowMs) / 1000);
  return Math.min(free, perWindow - steward.loadStartsMs.length);
}
