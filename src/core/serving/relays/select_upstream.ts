import type {ServingState} from '../types.js';
import {findSteward} from '../find_steward.js';

/** Returns the peer addresses of the nodes from which this node can fetch data that it lacks, the best first: its zone's relays, or the steward if it is a relay itself. Empty if only the store can provide it. */
export function selectUpstream(state: ServingState, nowMs: number): string[] {
  const {exchange, zone, nodeId} = state;
  if (!exchange.isRelayed) return [];
  if (exchange.relayRank < 0) {
    const relays = exchange.relays.get(zone) ?? [];
    return relays
      .filter(relay => relay.nodeId !== nodeId)
      .map(({peerAddress}) => peerAddress);
  }
  const address = findSteward(state, nowMs)?.digest.stewardAddress;
  return address && address !== state.peerAddress ? [address] : [];
}
