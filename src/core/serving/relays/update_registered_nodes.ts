import type {RegisteredNode, ServingStep} from '../types.js';
import {MAX_DIRECT_ZONE_SIZE} from './max_direct_zone_size.js';
import {recordRegistryRead} from '../coldness/index.js';
import {recordFleetSize} from '../fleet_size/index.js';
import {setRelayMode} from './set_relay_mode.js';

/** Replaces the registered nodes by those that the store lists, and decides whether digests go through relays. */
export function updateRegisteredNodes(
  step: ServingStep,
  nodes: readonly RegisteredNode[],
): void {
  const {state} = step;
  const {exchange} = state;
  exchange.hasReadRegistry = true;
  exchange.registeredNodes.clear();
  const sizes = new Map<string, number>();
  for (const node of nodes) {
    exchange.registeredNodes.set(node.nodeId, node);
    sizes.set(node.zone, (sizes.get(node.zone) ?? 0) + 1);
  }
  recordRegistryRead(step);
  const isRegistered = exchange.registeredNodes.has(state.nodeId);
  state.registeredPeerCount = nodes.length - (isRegistered ? 1 : 0);
  // Hysteresis: temporary losses of nodes must not switch a large fleet to direct exchange.
  const limit = exchange.isRelayed
    ? MAX_DIRECT_ZONE_SIZE / 2
    : MAX_DIRECT_ZONE_SIZE;
  const largest = Math.max(0, ...sizes.values());
  setRelayMode(step, largest > limit, 'registry read');
  recordFleetSize(step);
}
