import type {RosterNode, ServingState} from './types.js';
import type {ZoneId} from '../ids/index.js';
import {isReady} from './is_ready.js';
import {listNodes} from './relays/list_nodes.js';
import {rankRoster} from './relays/rank_roster.js';

/** A peer that was heard within this time takes callers. */
const FRESH_MS = 900;
/** The same for one that a relay tells of: it and the relay send when they are idle. */
const TOLD_FRESH_MS = 1800;
/** Callers accept this many addresses. */
const MAX_ENTRIES = 64;
/**
 * Part of a zone's processor time that its callers are spread over. Callers keep
 * connections to few nodes, of which each knows the loads of targets better;
 * the rest is there when these are lost, or busy.
 */
const WORKING_SHARE = 0.35;
/** Nodes that a zone's callers are spread over at least: the loss of one is then little. */
const WORKING_LEAST = 6;

/**
 * The addresses of nodes that take callers of a zone, or undefined when this
 * node can't tell: it is cut off from most peers that it knew a moment ago, and
 * naming only itself would gather all callers here.
 */
export function resolveEntries(
  state: ServingState,
  nowMs: number,
  zone: ZoneId = state.zone,
): string[] | undefined {
  const entries = state.exchange.isRelayed
    ? selectWorking(state, nowMs, zone)
    : listAll(state, nowMs);
  return entries && entries.length > 0
    ? entries.slice(0, MAX_ENTRIES)
    : undefined;
}

function listAll(state: ServingState, nowMs: number): string[] | undefined {
  const entries = isReady(state, nowMs) ? [state.callerAddress] : [];
  let silent = 0;
  for (const {digest, atMs} of state.peers.values()) {
    if (nowMs - atMs > FRESH_MS) silent += 1;
    else if (digest.isReady && !digest.isLeaving) {
      entries.push(digest.callerAddress);
    }
  }
  return silent > state.peers.size / 2 ? undefined : entries;
}

/** The largest nodes of the caller's zone, as many as bear its load; others where it has too few. */
function selectWorking(
  state: ServingState,
  nowMs: number,
  zone: ZoneId,
): string[] {
  const open = [...listNodes(state, nowMs).values()].filter(
    node => node.isReady && !node.isLeaving && node.ageMs < TOLD_FRESH_MS,
  );
  if (isReady(state, nowMs)) open.push(describeSelf(state));
  const ranked = rankRoster(open);
  const ofZone = ranked.filter(node => node.zone === zone);
  const needed = WORKING_SHARE * sumCores(ofZone);
  const working: RosterNode[] = [];
  let coreCount = 0;
  for (const node of ofZone) {
    if (working.length >= WORKING_LEAST && coreCount >= needed) break;
    working.push(node);
    coreCount += node.coreCount;
  }
  if (working.length < WORKING_LEAST) {
    const others = ranked.filter(node => node.zone !== zone);
    working.push(...others.slice(0, WORKING_LEAST - working.length));
  }
  return working.map(({callerAddress}) => callerAddress);
}

function describeSelf(state: ServingState): RosterNode {
  const {nodeId, zone, callerAddress, coreCount} = state;
  return {
    nodeId,
    zone,
    callerAddress,
    coreCount,
    isReady: true,
    isLeaving: false,
    ageMs: 0,
  };
}

function sumCores(nodes: readonly RosterNode[]): number {
  return nodes.reduce((sum, {coreCount}) => sum + coreCount, 0);
}
