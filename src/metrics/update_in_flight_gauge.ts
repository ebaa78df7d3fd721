import type {NodeMetrics} from './node_metrics.js';
import type {NodeState} from '../core/state/types.js';

/** Resets the gauges and recomputes the one of requests in flight from the node's state. */
export function updateInFlightGauge(
  metrics: NodeMetrics,
  state: NodeState,
): void {
  metrics.resetGauges();
  const {tickets} = state.admission;
  for (const {info, phase} of state.requests.byId.values()) {
    const isLong = tickets.get(info.requestId)?.isLong ?? false;
    metrics.count('inFlight', 1, {
      service: info.service,
      class: isLong ? 'long' : 'short',
      phase,
    });
  }
}
