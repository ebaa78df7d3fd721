import type {ListedNode, ServingStep} from '../types.js';
import {DIRECT_ZONE_SIZE} from './direct_zone_size.js';
import {setRelayed} from './set_relayed.js';

/** Takes over the nodes that the store lists. */
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
  const isListed = exchange.listed.has(state.nodeId);
  state.registeredPeers = nodes.length - (isListed ? 1 : 0);
  // Some that are lost for a moment don't make a large fleet a small one.
  const limit = exchange.isRelayed ? DIRECT_ZONE_SIZE / 2 : DIRECT_ZONE_SIZE;
  const largest = Math.max(0, ...sizes.values());
  setRelayed(step, largest > limit, 'nodes listed');
}
