import type {ServingState} from './types.js';

/** Time in which nodes that start together hear of each other: twenty digests. */
const START_MS = 2000;

/**
 * Peers that are registered and have told nothing yet, while this node is new.
 * After that a peer that is silent has ended.
 */
export function countUnheardPeers(state: ServingState, nowMs: number): number {
  const {startedAtMs, registeredPeers, peers} = state;
  if (startedAtMs === undefined || nowMs - startedAtMs > START_MS) return 0;
  return Math.max(0, registeredPeers - peers.size);
}
