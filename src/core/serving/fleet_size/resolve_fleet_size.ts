import type {ServingState} from '../types.js';

/** Returns the number of nodes that may serve callers, heard or not; undefined while this node has not learned of the others. */
export function resolveFleetSize(state: ServingState): number | undefined {
  const {fleetSize, exchange, peers} = state;
  if (!exchange.hasReadRegistry && !peers.has('fleet')) return undefined;
  return Math.max(fleetSize.peakCount, fleetSize.previousPeakCount);
}
