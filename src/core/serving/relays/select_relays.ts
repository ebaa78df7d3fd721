import type {ListedNode, ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {isHeard} from './is_heard.js';
import {rankNodes} from './rank_nodes.js';

/** Number of relays of a zone: the second one has the same data and takes over when the first is lost. */
const RELAY_COUNT = 2;

/** Selects the relays of a zone: its largest eligible nodes, in rank order. Resets the contact records of the zone when no other node is eligible. */
export function selectRelays(
  state: ServingState,
  zone: ZoneId,
  nowMs: number,
): ListedNode[] {
  const {exchange} = state;
  const ofZone = rankNodes(
    [...exchange.listed.values()].filter(node => node.zone === zone),
  );
  const eligible = ofZone.filter(({nodeId}) => isHeard(state, nodeId, nowMs));
  const others = eligible.filter(({nodeId}) => nodeId !== state.nodeId);
  const isOnlyNode = ofZone.every(({nodeId}) => nodeId === state.nodeId);
  if (others.length > 0 || isOnlyNode) return eligible.slice(0, RELAY_COUNT);
  // All others timed out: retry all. Some may have returned, or this node was partitioned.
  for (const {nodeId} of ofZone) {
    exchange.triedAtMs.delete(nodeId);
    exchange.heard.delete(nodeId);
  }
  return ofZone.slice(0, RELAY_COUNT);
}
