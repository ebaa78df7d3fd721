import type {ServingState} from './types.js';

/** Marks replicas and targets for recomputation at their next use: nodes of a large fleet receive many changes between two requests. */
export function markTargetsStale(state: ServingState): void {
  state.areTargetsStale = true;
}
