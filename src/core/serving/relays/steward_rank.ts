import type {ServingState} from '../types.js';
import {mustYieldStewardship} from '../../steward/must_yield_stewardship.js';
import {rankNodes} from './rank_nodes.js';

/**
 * Returns this node's rank among the candidates for steward, 0 first; undefined
 * if it is no candidate. In a large fleet the candidates are the relays, which
 * are the largest nodes and receive all changes of engines first.
 */
export function stewardRank(
  state: ServingState,
  nowMs: number,
): number | undefined {
  const {exchange, peers, nodeId} = state;
  if (mustYieldStewardship(state, nowMs)) return undefined;
  if (!exchange.isRelayed) {
    let rank = 0;
    for (const {digest} of peers.values()) {
      const isCandidate =
        digest.isReady &&
        !digest.isLeaving &&
        digest.unreachableServices.length === 0;
      if (isCandidate && digest.from < nodeId) rank += 1;
    }
    return rank;
  }
  if (exchange.relayRank < 0) return undefined;
  const relays = rankNodes([...exchange.relays.values()].flat());
  const at = relays.findIndex(relay => relay.nodeId === nodeId);
  return at < 0 ? undefined : at;
}
