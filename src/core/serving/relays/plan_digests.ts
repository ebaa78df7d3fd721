import type {
  DigestReceiver,
  RegisteredNode,
  LoadDigest,
  ServingStep,
} from '../types.js';
import type {NodeId} from '../../ids/index.js';
import {ROSTER_INTERVAL_MS} from './roster_interval_ms.js';
import {recordSentRows} from '../fair_queue/index.js';
import {createDigest} from '../create_digest.js';
import {createSummary} from './create_summary.js';
import {updateRelays} from './update_relays.js';

/** Interval between digests while requests are in flight: two passes of a target. It is a little shorter, since timers fire late: a digest that is almost due is sent. */
const BUSY_MS = 90;
/** Interval without requests, when a digest is only a heartbeat. */
const IDLE_MS = 290;
/** Intervals of the second relay. Its summaries replace those of the first when that is lost; until then they only serve as heartbeats. */
const SECOND_BUSY_MS = 390;
const SECOND_IDLE_MS = 590;
/** A node that is no longer registered still receives digests for this long after its last one. */
const UNREGISTERED_MS = 5000;
/** Number of this node's sent digests whose loads are recorded, since a relay's summary may include any of them. */
const MAX_SENT_DIGESTS = 20;

/** Sends the digests that are due: to all nodes in a small fleet, through the relays of the zone in a large one. `isUrgent`: this node's own digest is sent now. */
export function planDigests(step: ServingStep, isUrgent: boolean): void {
  const hasChanged = updateRelays(step);
  if (step.state.exchange.isRelayed) sendToRelays(step, isUrgent || hasChanged);
  else sendToAll(step, isUrgent);
}

function sendToAll(step: ServingStep, isUrgent: boolean): void {
  const {state, nowMs} = step;
  if (!isUrgent && !isDue(step, 'all', resolveIntervalMs(step))) return;
  const {registeredNodes, contacts, sentAtMs} = state.exchange;
  sentAtMs.set('all', nowMs);
  const addresses = new Set<string>();
  for (const {nodeId, peerAddress} of registeredNodes.values()) {
    if (nodeId !== state.nodeId) addresses.add(peerAddress);
  }
  for (const [nodeId, {atMs, peerAddress}] of contacts) {
    if (nowMs - atMs > UNREGISTERED_MS) contacts.delete(nodeId);
    else if (peerAddress !== undefined) addresses.add(peerAddress);
  }
  const digest = createDigest(state, nowMs);
  recordSentLoads(step, digest);
  send(step, digest, [...addresses].map(toReceiver));
}

/** Interval to this node's next digest. It stays short until a digest without requests was sent: until then, peers count the finished request's slot as taken. */
function resolveIntervalMs(step: ServingStep): number {
  const {state} = step;
  const last = [...state.exchange.sentLoads.values()].at(-1) ?? [];
  const hasSentLoad = last.some(({inFlight}) => inFlight > 0);
  const isBusy = hasSentLoad || state.requests.size > 0 || lacksRelay(step);
  return isBusy || state.steward.term !== undefined ? BUSY_MS : IDLE_MS;
}

/** Whether no relay's summary was received lately: a new relay counts this node only from its next digest on. */
function lacksRelay({state, nowMs}: ServingStep): boolean {
  const {isRelayed, relayRank} = state.exchange;
  if (!isRelayed || relayRank >= 0) return false;
  const view = state.peers.get('fleet');
  return !view || nowMs - view.atMs > SECOND_IDLE_MS;
}

function sendToRelays(step: ServingStep, isUrgent: boolean): void {
  const {state, nowMs} = step;
  const {exchange} = state;
  if (isUrgent || isDue(step, 'relays', resolveIntervalMs(step))) {
    exchange.sentAtMs.set('relays', nowMs);
    const digest = createDigest(state, nowMs);
    recordSentLoads(step, digest);
    send(step, digest, receiversOf(step, exchange.relays.get(state.zone)));
  }
  if (exchange.relayRank < 0) return;
  sendToOtherZones(step);
  sendToOwnZone(step);
}

/** Sends the summary of this node's zone to the relays of other zones. */
function sendToOtherZones(step: ServingStep): void {
  const {state, nowMs} = step;
  const {exchange} = state;
  const isFirst = exchange.relayRank === 0;
  if (!isDue(step, 'zones', isFirst ? BUSY_MS : SECOND_BUSY_MS)) return;
  exchange.sentAtMs.set('zones', nowMs);
  const hasRoster = isRosterDue(step, 'zones');
  const to = [...exchange.relays]
    .filter(([zone]) => zone !== state.zone)
    .flatMap(([, relays]) => receiversOf(step, relays));
  send(step, createSummary(state, {scope: 'zone', hasRoster}, nowMs), to);
}

/** Sends the summary of the fleet to each node of the zone, more often to those with requests. */
function sendToOwnZone(step: ServingStep): void {
  const {state, nowMs} = step;
  const {exchange, peers} = state;
  const isFirst = exchange.relayRank === 0;
  const busyMs = isFirst ? BUSY_MS : SECOND_BUSY_MS;
  const idleMs = isFirst ? IDLE_MS : SECOND_IDLE_MS;
  const withRoster: DigestReceiver[] = [];
  const others: DigestReceiver[] = [];
  for (const [key, {digest}] of peers) {
    if (digest.scope !== 'node') continue;
    const dueMs = digest.loads.length > 0 ? busyMs : idleMs;
    if (!isDue(step, key, dueMs)) continue;
    exchange.sentAtMs.set(key, nowMs);
    const receiver = {
      address: digest.peerAddress,
      countedSentAtMs: digest.sentAtMs,
    };
    (isRosterDue(step, key) ? withRoster : others).push(receiver);
  }
  for (const [to, hasRoster] of [
    [withRoster, true],
    [others, false],
  ] as const) {
    if (to.length === 0) continue;
    send(step, createSummary(state, {scope: 'fleet', hasRoster}, nowMs), to);
  }
}

function isDue({state, nowMs}: ServingStep, key: string, intervalMs: number) {
  const sentAtMs = state.exchange.sentAtMs.get(key) ?? -Infinity;
  return nowMs - sentAtMs >= intervalMs;
}

/** Whether a roster is due for a receiver or group; if so, records it as sent now. */
function isRosterDue(step: ServingStep, key: string): boolean {
  const rosterKey = `roster/${key}`;
  if (!isDue(step, rosterKey, ROSTER_INTERVAL_MS)) return false;
  step.state.exchange.sentAtMs.set(rosterKey, step.nowMs);
  return true;
}

function recordSentLoads({state}: ServingStep, digest: LoadDigest): void {
  recordSentRows(state, digest);
  const {sentLoads} = state.exchange;
  sentLoads.set(digest.sentAtMs, digest.loads);
  for (const sentAtMs of sentLoads.keys()) {
    if (sentLoads.size <= MAX_SENT_DIGESTS) break;
    sentLoads.delete(sentAtMs);
  }
}

function receiversOf(
  {state}: ServingStep,
  relays: readonly RegisteredNode[] = [],
): DigestReceiver[] {
  return relays
    .filter(({nodeId}: {nodeId: NodeId}) => nodeId !== state.nodeId)
    .map(({peerAddress}) => toReceiver(peerAddress));
}

function toReceiver(address: string): DigestReceiver {
  return {address};
}

function send(
  step: ServingStep,
  digest: LoadDigest,
  to: readonly DigestReceiver[],
): void {
  if (to.length > 0) step.effects.push({type: 'sendDigest', digest, to});
}
