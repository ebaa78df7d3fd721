import type {ServingState} from './types.js';

/** Peers whose last digest is older are not counted. */
const PEER_MAX_AGE_MS = 5000;

/** Number of nodes that serve callers, this one included, as known from digests. */
export function countActiveNodes(
  {peers, exchange}: ServingState,
  nowMs: number,
): number {
  let count = 0;
  for (const {digest, atMs} of peers.values()) {
    if (nowMs - atMs >= PEER_MAX_AGE_MS) continue;
    if (digest.scope === 'fleet') return digest.nodeCount;
    count += digest.nodeCount;
  }
  // Without a relay's summary: the number of nodes known from digests.
  return Math.max(1 + count, exchange.isRelayed ? exchange.contacts.size : 1);
}
