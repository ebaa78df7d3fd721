import type {ListedNode, ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {isHeard} from './is_heard.js';
import {rankNodes} from './rank_nodes.js';

/** Relays of a zone: a second one has all that the first knows when that one is lost. */
const RELAY_COUNT = 2;

/** The relays of a zone, as far as this node can tell. */
export function selectRelays(
  state: ServingState,
  zone: ZoneId,
  nowMs: number,
): ListedNode[] {
  const {exchange} = state;
  const ofZone = rankNodes(
    [...exchange.listed.values()].filter(node => node.zone === zone),
  );
  const heard = ofZone.filter(({nodeId}) => isHeard(state, nodeId, nowMs));
  const others = heard.filter(({nodeId}) => nodeId !== state.nodeId);
  const isAlone = ofZone.every(({nodeId}) => nodeId === state.nodeId);
  if (others.length > 0 || isAlone) return heard.slice(0, RELAY_COUNT);
  // All were tried in vain: begin anew. Some may be back, or this node was cut off.
  for (const {nodeId} of ofZone) {
    exchange.triedAtMs.delete(nodeId);
    exchange.heard.delete(nodeId);
  }
  return ofZone.slice(0, RELAY_COUNT);
}
