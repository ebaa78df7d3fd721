import type {ServingTarget} from './types.js';

/** Pass time of application services, which have no passes. */
const APPLICATION_PASS_MS = 1;

/** Expected time of one pass at a target with `inFlight` requests; each step takes longer for every request that generates output. */
export function expectedPassMs(
  target: ServingTarget,
  inFlight: number,
): number {
  const {costs, pace, slotCount} = target;
  if (!costs) return APPLICATION_PASS_MS;
  const generatingCount = Math.min(Math.max(1, inFlight), slotCount);
  const stepMs = costs.stepMs + costs.stepMsPerSequence * generatingCount;
  return pace * costs.stepsPerPass * stepMs;
}
