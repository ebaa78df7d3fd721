import type {NodeMetrics} from '../metrics/types.js';
import type {ServingState} from '../core/serving/types.js';
import {refreshTargets, retryBudget} from '../core/serving/index.js';

/** Recomputes the gauges from the node's state; called for each scrape. */
export function updateGauges(
  state: ServingState,
  metrics: NodeMetrics,
  nowMs: number,
): void {
  metrics.resetGauges();
  refreshTargets(state);
  for (const {head} of state.replicas.values()) {
    metrics.count('replicas', 1, {
      model: head?.models[0] ?? 'none',
      stage: head?.membership?.stage ?? 'no-head',
    });
  }
  for (const [pool, waiting] of state.waitingByPool) {
    metrics.count('waitingRequests', waiting.length, {pool});
  }
  const {zones, keptZones, provenAtMs, storeVersion} = state.evacuation;
  for (const zone of new Set([...zones, ...keptZones])) {
    metrics.count('evacuatedZones', 1, {zone});
  }
  if (storeVersion !== undefined) {
    metrics.count('beliefVersion', storeVersion, {belief: 'evacuations'});
  }
  const ages = {
    evacuations: nowMs - provenAtMs,
    'configuration-proof': nowMs - state.configProvenAtMs,
    'configuration-read': nowMs - state.configReadAtMs,
    engines: nowMs - state.fleetProvenAtMs,
    'steward-lease-left': state.steward.leaseUntilMs - nowMs,
  };
  for (const [belief, ageMs] of Object.entries(ages)) {
    if (Number.isFinite(ageMs)) metrics.count('beliefAgeMs', ageMs, {belief});
  }
  const {config, fleetRevision} = state;
  metrics.count('beliefVersion', config?.version ?? 0, {
    belief: 'configuration',
  });
  metrics.count('beliefVersion', fleetRevision, {belief: 'engines'});
  for (const service of state.retries.windows.keys()) {
    const {used, allowed, nodeCount} = retryBudget.usage(state, service, nowMs);
    metrics.count('repeats', used, {service, of: 'used'});
    metrics.count('repeats', allowed, {service, of: 'allowed'});
    metrics.count('repeats', nodeCount, {service, of: 'nodes'});
  }
}
