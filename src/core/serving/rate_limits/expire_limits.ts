import type {ServingState} from '../types.js';

/** Removes the limits of engines that are unknown or have restarted. */
export function expireLimits(state: ServingState): void {
  const {limits} = state.rateLimits;
  for (const [vmId, {bornAtMs}] of limits) {
    const engine = state.engines.get(vmId) ?? state.departedEngines.get(vmId);
    if (engine?.bornAtMs !== bornAtMs) limits.delete(vmId);
  }
}
