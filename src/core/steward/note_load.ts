import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Before the first request, weights load this much faster. */
const EARLY_FACTOR = 0.1;

/** Counts a load of weights that starts now. */
export function noteLoad(step: ServingStep, vmId: VmId, loadMs: number): void {
  const {steward} = step.state;
  const factor = steward.hasTraffic ? 1 : EARLY_FACTOR;
  steward.loadEndsMs.set(vmId, step.nowMs + loadMs * factor);
  steward.loadStartsMs.push(step.nowMs);
}
