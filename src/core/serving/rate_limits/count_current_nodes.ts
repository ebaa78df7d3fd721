import type {ServingState} from '../types.js';

/** Longer than the interval of a relay's digests; what a peer has sent since an older one is unknown. */
const MAX_DIGEST_AGE_MS = 700;

/** Counts the nodes whose recent sends this node knows, itself included. */
export function countCurrentNodes(
  {peers}: ServingState,
  nowMs: number,
): number {
  let count = 1;
  for (const {digest, atMs} of peers.values()) {
    if (nowMs - atMs > MAX_DIGEST_AGE_MS) continue;
    if (digest.scope === 'fleet') return digest.nodeCount;
    count += digest.nodeCount;
  }
  return count;
}
