import type {RegisteredNode, ServingStep} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {acceptsDigest} from './accepts_digest.js';
import {dropPeer} from '../drop_peer.js';
import {logDecision} from '../log_decision.js';
import {selectRelays} from './select_relays.js';

/** Selects the current relays and updates this node's own relay rank. Returns whether the relays of its zone have changed. */
export function updateRelays(step: ServingStep): boolean {
  const {state, nowMs} = step;
  const {exchange} = state;
  if (!exchange.isRelayed) return false;
  const before = joinIds(exchange.relays.get(state.zone));
  const own = selectRelays(state, state.zone, nowMs);
  const rank = own.findIndex(({nodeId}) => nodeId === state.nodeId);
  exchange.relays = new Map([[state.zone, own]]);
  if (rank >= 0) {
    for (const zone of listZones(step)) {
      if (zone === state.zone) continue;
      exchange.relays.set(zone, selectRelays(state, zone, nowMs));
    }
  }
  for (const relays of exchange.relays.values()) {
    for (const {nodeId} of relays) {
      if (nodeId === state.nodeId || exchange.unansweredSinceMs.has(nodeId))
        continue;
      exchange.unansweredSinceMs.set(nodeId, nowMs);
    }
  }
  const hasChanged = joinIds(own) !== before;
  if (rank === exchange.relayRank) return hasChanged;
  logDecision(step, 'info', 'peers', 'relay rank', {
    rank,
    before: exchange.relayRank,
    relays: own.map(({nodeId}) => nodeId),
  });
  const wasRelay = exchange.relayRank >= 0;
  exchange.relayRank = rank;
  if (wasRelay !== rank >= 0) dropUnusedViews(step);
  return hasChanged;
}

function joinIds(relays: readonly RegisteredNode[] = []): string {
  return relays.map(({nodeId}) => nodeId).join();
}

function listZones({state}: ServingStep): Set<ZoneId> {
  return new Set(
    [...state.exchange.registeredNodes.values()].map(({zone}) => zone),
  );
}

/** Drops the peer views that this node no longer uses in its new role: they would count requests twice. */
function dropUnusedViews(step: ServingStep): void {
  for (const [key, {digest}] of [...step.state.peers]) {
    if (!acceptsDigest(step.state, digest)) dropPeer(step.state, key);
  }
}
