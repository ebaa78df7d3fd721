import type {ServiceName} from '../../ids/index.js';
import type {ServingState} from '../types.js';

/** Drops what this node observed of a service's engines while its path to them was down. */
export function dropPathEvidence(
  state: ServingState,
  service: ServiceName,
): void {
  for (const [vmId, load] of state.targetLoads) {
    if (state.engines.get(vmId)?.service !== service) continue;
    load.suspectUntilMs = -Infinity;
    load.consecutiveFailures = 0;
  }
  for (const [vmId, probe] of state.steward.probes) {
    const engine = state.engines.get(vmId);
    if (!engine || engine.service === service) probe.unansweredCount = 0;
  }
  for (const vmId of state.probeResults.keys()) {
    const engine = state.engines.get(vmId);
    if (!engine || engine.service === service) state.probeResults.delete(vmId);
  }
}
