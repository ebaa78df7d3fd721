import type {ServingState} from '../types.js';
import {countActiveNodes} from '../count_active_nodes.js';

/** Counts the nodes that are heard or registered in the store, this one included. */
export function countKnownNodes(state: ServingState, nowMs: number): number {
  const {nodeId, exchange, peers} = state;
  const known = new Set([nodeId, ...exchange.registeredNodes.keys()]);
  for (const {digest} of peers.values()) {
    if (digest.scope === 'node') known.add(digest.from);
  }
  // A relay's summary counts nodes without naming them.
  return Math.max(known.size, countActiveNodes(state, nowMs));
}
