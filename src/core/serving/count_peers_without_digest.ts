import type {ServingState} from './types.js';

/** Time in which nodes that start together receive each other's digests: twenty digests. */
const DISCOVERY_PERIOD_MS = 2000;

/**
 * Number of registered peers from which no digest has arrived, while this node is
 * new; 0 later, when a peer without digests is assumed to have stopped. A relay's
 * summary covers all the nodes that it receives digests from.
 */
export function countPeersWithoutDigest(
  state: ServingState,
  nowMs: number,
): number {
  const {startedAtMs, registeredPeerCount, peers, exchange} = state;
  if (startedAtMs === undefined || nowMs - startedAtMs > DISCOVERY_PERIOD_MS)
    return 0;
  if (exchange.isRelayed && peers.size > 0) return 0;
  return Math.max(0, registeredPeerCount - peers.size);
}
