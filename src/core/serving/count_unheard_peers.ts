import type {ServingState} from './types.js';

/** Time in which nodes that start together hear of each other: twenty digests. */
const START_MS = 2000;

/**
 * Peers that are registered and have told nothing yet, while this node is new.
 * After that a peer that is silent has ended. A relay's sum tells of all that
 * it hears.
 */
export function countUnheardPeers(state: ServingState, nowMs: number): number {
  const {startedAtMs, registeredPeers, peers, exchange} = state;
  if (startedAtMs === undefined || nowMs - startedAtMs > START_MS) return 0;
  if (exchange.isRelayed && peers.size > 0) return 0;
  return Math.max(0, registeredPeers - peers.size);
}
