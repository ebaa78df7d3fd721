import type {
  DigestReceiver,
  ListedNode,
  LoadDigest,
  ServingStep,
} from '../types.js';
import type {NodeId} from '../../ids/index.js';
import {ROSTER_MS} from './roster_ms.js';
import {createDigest} from '../create_digest.js';
import {createSummary} from './create_summary.js';
import {followRelays} from './follow_relays.js';

/** Pause between digests while requests are in flight: two passes of a target. Timers fire late, so that a digest due in a moment is sent. */
const BUSY_MS = 90;
/** Without requests a digest is only a sign of life. */
const IDLE_MS = 290;
/** The second relay's sums replace the first one's when that is lost; until then they only show that it lives. */
const SECOND_BUSY_MS = 390;
const SECOND_IDLE_MS = 590;
/** An address that is no longer registered is still told for this long after it was heard. */
const HEARD_MS = 5000;
/** Digests of this node that a relay's sum may hold. */
const TOLD_COUNT = 20;

/** Tells peers what is due: each other directly in a small fleet, the relays of the zone in a large one. */
export function planDigests(step: ServingStep, isUrgent: boolean): void {
  const hasNewRelays = followRelays(step);
  if (step.state.exchange.isRelayed) tellRelays(step, isUrgent || hasNewRelays);
  else tellAll(step, isUrgent);
}

function tellAll(step: ServingStep, isUrgent: boolean): void {
  const {state, nowMs} = step;
  if (!isUrgent && !isDue(step, 'all', pauseMs(step))) return;
  const {listed, heard, sentAtMs} = state.exchange;
  sentAtMs.set('all', nowMs);
  const addresses = new Set<string>();
  for (const {nodeId, peerAddress} of listed.values()) {
    if (nodeId !== state.nodeId) addresses.add(peerAddress);
  }
  for (const [nodeId, {atMs, peerAddress}] of heard) {
    if (nowMs - atMs > HEARD_MS) heard.delete(nodeId);
    else if (peerAddress !== undefined) addresses.add(peerAddress);
  }
  const digest = createDigest(state, nowMs);
  keepTold(step, digest);
  send(step, digest, [...addresses].map(toReceiver));
}

/** The end of its last request is news as well: until it is told, others take the slot as held. */
function pauseMs(step: ServingStep): number {
  const {state} = step;
  const last = [...state.exchange.told.values()].at(-1) ?? [];
  const hasTold = last.some(({inFlight}) => inFlight > 0);
  const isBusy = hasTold || state.requests.size > 0 || lacksRelay(step);
  return isBusy || state.steward.term !== undefined ? BUSY_MS : IDLE_MS;
}

/** A new relay counts a node from its next digest on. */
function lacksRelay({state, nowMs}: ServingStep): boolean {
  const {isRelayed, relayRank} = state.exchange;
  if (!isRelayed || relayRank >= 0) return false;
  const view = state.peers.get('fleet');
  return !view || nowMs - view.atMs > SECOND_IDLE_MS;
}

function tellRelays(step: ServingStep, isUrgent: boolean): void {
  const {state, nowMs} = step;
  const {exchange} = state;
  if (isUrgent || isDue(step, 'relays', pauseMs(step))) {
    exchange.sentAtMs.set('relays', nowMs);
    const digest = createDigest(state, nowMs);
    keepTold(step, digest);
    send(step, digest, receiversOf(step, exchange.relays.get(state.zone)));
  }
  if (exchange.relayRank < 0) return;
  tellZones(step);
  tellOwnZone(step);
}

/** What this node's zone has in flight, to the relays of the others. */
function tellZones(step: ServingStep): void {
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

/** What all have in flight, to each node of the zone as often as it needs it. */
function tellOwnZone(step: ServingStep): void {
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

function isDue({state, nowMs}: ServingStep, key: string, pauseMs: number) {
  const sentAtMs = state.exchange.sentAtMs.get(key) ?? -Infinity;
  return nowMs - sentAtMs >= pauseMs;
}

/** Whether a receiver, or all of a group, lacks the roster; notes that it gets it now. */
function isRosterDue(step: ServingStep, key: string): boolean {
  const rosterKey = `roster/${key}`;
  if (!isDue(step, rosterKey, ROSTER_MS)) return false;
  step.state.exchange.sentAtMs.set(rosterKey, step.nowMs);
  return true;
}

function keepTold({state}: ServingStep, digest: LoadDigest): void {
  const {told} = state.exchange;
  told.set(digest.sentAtMs, digest.loads);
  for (const sentAtMs of told.keys()) {
    if (told.size <= TOLD_COUNT) break;
    told.delete(sentAtMs);
  }
}

function receiversOf(
  {state}: ServingStep,
  relays: readonly ListedNode[] = [],
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
