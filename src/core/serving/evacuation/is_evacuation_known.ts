import type {ServingState} from '../types.js';

/** Whether this node knows which zones are evacuated; always true where the deployment has no evacuations. */
export function isEvacuationKnown({evacuation}: ServingState): boolean {
  return !evacuation.isEnabled || evacuation.storeVersion !== undefined;
}
