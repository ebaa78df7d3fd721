import type {ServingStep} from '../serving/types.js';

/** Removes weight loads that are expected to have ended, and those of engines no longer listed. */
export function expireWeightLoads({state, nowMs}: ServingStep): void {
  const {weightLoadEndsMs: endsMs} = state.steward;
  for (const [vmId, endMs] of endsMs) {
    if (endMs < nowMs || !state.engines.has(vmId)) endsMs.delete(vmId);
  }
}
