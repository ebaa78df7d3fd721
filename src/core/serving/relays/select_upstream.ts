import type {ServingState} from '../types.js';
import {findSteward} from '../find_steward.js';

/** Peer addresses of the nodes that hand on what this node lacks, the best first: relays to their zone, the steward to relays. Empty: only the store can. */
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
