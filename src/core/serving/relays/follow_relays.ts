import type {ListedNode, ServingStep} from '../types.js';
import type {ZoneId} from '../../ids/index.js';
import {acceptsDigest} from './accepts_digest.js';
import {dropPeer} from '../drop_peer.js';
import {logDecision} from '../log_decision.js';
import {selectRelays} from './select_relays.js';

/** Selects the relays anew, and takes up or lays down this node's part as one. True when the zone has other relays than before. */
export function followRelays(step: ServingStep): boolean {
  const {state, nowMs} = step;
  const {exchange} = state;
  if (!exchange.isRelayed) return false;
  const before = namesOf(exchange.relays.get(state.zone));
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
      if (nodeId === state.nodeId || exchange.triedAtMs.has(nodeId)) continue;
      exchange.triedAtMs.set(nodeId, nowMs);
    }
  }
  const hasChanged = namesOf(own) !== before;
  if (rank === exchange.relayRank) return hasChanged;
  logDecision(step, 'info', 'peers', 'relay rank', {
    rank,
    before: exchange.relayRank,
    relays: own.map(({nodeId}) => nodeId),
  });
  const wasRelay = exchange.relayRank >= 0;
  exchange.relayRank = rank;
  if (wasRelay !== rank >= 0) dropOthers(step);
  return hasChanged;
}

function namesOf(relays: readonly ListedNode[] = []): string {
  return relays.map(({nodeId}) => nodeId).join();
}

function listZones({state}: ServingStep): Set<ZoneId> {
  return new Set([...state.exchange.listed.values()].map(({zone}) => zone));
}

/** Views that this node's part doesn't take would count requests twice. */
function dropOthers(step: ServingStep): void {
  for (const [key, {digest}] of [...step.state.peers]) {
    if (!acceptsDigest(step.state, digest)) dropPeer(step.state, key);
  }
}
