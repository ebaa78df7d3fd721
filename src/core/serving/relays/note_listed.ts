import type {ListedNode, ServingStep} from '../types.js';
import {DIRECT_ZONE_SIZE} from './direct_zone_size.js';
import {acceptsDigest} from './accepts_digest.js';
import {dropPeer} from '../drop_peer.js';
import {logDecision} from '../log_decision.js';

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
  const isRelayed = Math.max(0, ...sizes.values()) > DIRECT_ZONE_SIZE;
  if (isRelayed === exchange.isRelayed) return;
  exchange.isRelayed = isRelayed;
  exchange.relayRank = -1;
  logDecision(step, 'info', 'peers', 'exchange of digests', {
    byRelays: isRelayed,
    listed: nodes.length,
  });
  for (const [key, {digest}] of [...state.peers]) {
    if (!acceptsDigest(state, digest)) dropPeer(state, key);
  }
}
