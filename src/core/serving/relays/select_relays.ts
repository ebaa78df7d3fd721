import type {RegisteredNode, ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {isRelayEligible} from './is_relay_eligible.js';
import {listUnreachableServices} from '../reachability/index.js';
import {rankNodes} from './rank_nodes.js';

/** Number of relays of a zone: the second one has the same data and takes over when the first is lost. */
const RELAY_COUNT = 2;

/** Selects the relays of a zone: its largest eligible nodes, in rank order. Resets the contact records of the zone when no other node is eligible. */
export function selectRelays(
  state: ServingState,
  zone: ZoneId,
  nowMs: number,
): RegisteredNode[] {
  const {exchange} = state;
  const ofZone = rankNodes(
    [...exchange.registeredNodes.values()].filter(node => node.zone === zone),
  );
  // Relays are the candidates for steward, which has to reach the engines.
  const eligible = ofZone
    .filter(({nodeId}) => isRelayEligible(state, nodeId, nowMs))
    .sort((a, b) => partitionRank(state, a) - partitionRank(state, b));
  const others = eligible.filter(({nodeId}) => nodeId !== state.nodeId);
  const isOnlyNode = ofZone.every(({nodeId}) => nodeId === state.nodeId);
  if (others.length > 0 || isOnlyNode) return eligible.slice(0, RELAY_COUNT);
  // All others timed out: retry all. Some may have returned, or this node was partitioned.
  for (const {nodeId} of ofZone) {
    exchange.unansweredSinceMs.delete(nodeId);
    exchange.contacts.delete(nodeId);
  }
  return ofZone.slice(0, RELAY_COUNT);
}

/** 1 for a node that can't reach the engines of some service, else 0. */
function partitionRank(state: ServingState, {nodeId}: RegisteredNode): number {
  const isPartitioned =
    nodeId === state.nodeId
      ? listUnreachableServices(state).length > 0
      : state.exchange.contacts.get(nodeId)?.isPartitioned;
  return isPartitioned ? 1 : 0;
}
