import type {ServingStep} from '../serving/types.js';

/** Removes weight loads that are expected to have ended, and those of engines no longer listed. */
export function expireLoads({state, nowMs}: ServingStep): void {
  const {loadEndsMs} = state.steward;
  for (const [vmId, endMs] of loadEndsMs) {
    if (endMs < nowMs || !state.engines.has(vmId)) loadEndsMs.delete(vmId);
  }
}
