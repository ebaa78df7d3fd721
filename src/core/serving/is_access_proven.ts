import type {ServingState} from './types.js';

/** Whether the proof that the configuration is current is recent enough to accept API keys. */
export function isAccessProven(state: ServingState, nowMs: number): boolean {
  const limitMs = state.bounds.accessProofMs;
  if (!state.config) return false;
  return limitMs === undefined || nowMs - state.configProvenAtMs <= limitMs;
}
