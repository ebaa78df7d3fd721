import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Factor on the load time before the first request, when weights load much faster. */
const PRE_TRAFFIC_FACTOR = 0.1;

/** Records that an engine starts to load weights, for the limits on concurrent loads and on their rate. `loadMs` is the load time under traffic. */
export function recordWeightLoad(
  step: ServingStep,
  vmId: VmId,
  loadMs: number,
): void {
  const {steward} = step.state;
  const factor = steward.hasTraffic ? 1 : PRE_TRAFFIC_FACTOR;
  steward.weightLoadEndsMs.set(vmId, step.nowMs + loadMs * factor);
  steward.weightLoadStartsMs.push(step.nowMs);
}
