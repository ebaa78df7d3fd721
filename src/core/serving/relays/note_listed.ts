import type {ListedNode, ServingStep} from '../types.js';
import {DIRECT_ZONE_SIZE} from './direct_zone_size.js';
import {setRelayed} from './set_relayed.js';

/** Replaces the registered nodes by those that the store lists, and decides whether digests go through relays. */
export function noteListed(
  step: ServingStep,
  nodes: readonly ListedNode[],
): void {
  const {state} = step;
  const {exchange} = state;
  exchange.hasListed = true;
  exchange.listed.clear();
  const sizes = new Map<string, number>();
  for (const node of nodes) {
    exchange.listed.set(node.nodeId, node);
    sizes.set(node.zone, (sizes.get(node.zone) ?? 0) + 1);
  }
  const isRegistered = exchange.listed.has(state.nodeId);
  state.registeredPeers = nodes.length - (isRegistered ? 1 : 0);
  // Hysteresis: temporary losses of nodes must not switch a large fleet to direct exchange.
  const limit = exchange.isRelayed ? DIRECT_ZONE_SIZE / 2 : DIRECT_ZONE_SIZE;
  const largest = Math.max(0, ...sizes.values());
  setRelayed(step, largest > limit, 'registry read');
}
