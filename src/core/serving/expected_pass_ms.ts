import type {ServingTarget} from './types.js';

/** Time that an application service takes for what a pass is of a model. */
const NO_PASS_MS = 1;

/** Time of one pass of a target with so many requests: its steps, each longer by a little for every request that writes. */
export function expectedPassMs(
  target: ServingTarget,
  inFlight: number,
): number {
  const {costs, pace, slotCount} = target;
  if (!costs) return NO_PASS_MS;
  const writers = Math.min(Math.max(1, inFlight), slotCount);
  const stepMs = costs.stepMs + costs.stepMsPerSequence * writers;
  return pace * costs.stepsPerPass * stepMs;
}
