import type {ServingState} from '../types.js';
import {rankNodes} from './rank_nodes.js';

/**
 * This node's place among those that may become steward, 0 first; undefined:
 * it leaves that to others. In a large fleet the relays may, which are the
 * largest nodes and are told of all engines first.
 */
export function stewardRank(state: ServingState): number | undefined {
  const {exchange, peers, nodeId} = state;
  if (!exchange.isRelayed) {
    let rank = 0;
    for (const {digest} of peers.values()) {
      const isContender = digest.isReady && !digest.isLeaving;
      if (isContender && digest.from < nodeId) rank += 1;
    }
    return rank;
  }
  if (exchange.relayRank < 0) return undefined;
  const relays = rankNodes([...exchange.relays.values()].flat());
  const at = relays.findIndex(relay => relay.nodeId === nodeId);
  return at < 0 ? undefined : at;
}
