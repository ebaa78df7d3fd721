import type {ServingState} from './types.js';

/** Whether the configuration is known to be recent enough to let keys in. */
export function isAccessProven(state: ServingState, nowMs: number): boolean {
  const limitMs = state.bounds.accessProofMs;
  if (!state.config) return false;
  return limitMs === undefined || nowMs - state.configProvenAtMs <= limitMs;
}
