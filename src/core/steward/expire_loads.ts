import type {ServingStep} from '../serving/types.js';

/** Forgets loads of weights that have ended. */
export function expireLoads({state, nowMs}: ServingStep): void {
  const {loadEndsMs} = state.steward;
  for (const [vmId, endMs] of loadEndsMs) {
    if (endMs < nowMs || !state.engines.has(vmId)) loadEndsMs.delete(vmId);
  }
}
