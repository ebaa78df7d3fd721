import type {RosterNode, ServingState} from './types.js';
import type {ZoneId} from '../ids/index.js';
import {isReady} from './is_ready.js';
import {listUnreachableServices} from './reachability/index.js';
import {listPeerNodes} from './relays/list_peer_nodes.js';
import {rankRoster} from './relays/rank_roster.js';
import {resolvePeerMaxAgeMs} from './resolve_peer_max_age_ms.js';

/** Maximum number of addresses that callers accept. */
const MAX_ENTRIES = 64;
/**
 * Share of a zone's processor capacity that its callers are spread over. With few
 * nodes each one handles more requests and has more accurate target loads; the other
 * nodes take over when these fail or are busy.
 */
const ACTIVE_CORE_SHARE = 0.35;
/** Minimum number of nodes that a zone's callers are spread over, so that the loss of one affects few of them. */
const MIN_ACTIVE_NODES = 6;
/**
 * Share of the processor capacity that nodes which reach all services must have,
 * so that callers are sent to them alone. With less they would be overloaded;
 * the other nodes forward what these can take, and refuse the rest.
 */
const MIN_REACHABLE_SHARE = 0.3;

/**
 * Returns the addresses of nodes that accept callers of a zone. Undefined when there
 * are none, or when most peers no longer send digests: this node is then probably
 * partitioned, and returning only its own address would direct all callers to it.
 */
export function resolveEntries(
  state: ServingState,
  nowMs: number,
  zone: ZoneId = state.zone,
): string[] | undefined {
  const entries = state.exchange.isRelayed
    ? selectActiveNodes(state, nowMs, zone)
    : listAllReady(state, nowMs);
  return entries && entries.length > 0
    ? entries.slice(0, MAX_ENTRIES)
    : undefined;
}

function listAllReady(
  state: ServingState,
  nowMs: number,
): string[] | undefined {
  const nodes = isReady(state, nowMs) ? [describeSelf(state)] : [];
  const maxAgeMs = resolvePeerMaxAgeMs(state);
  let staleCount = 0;
  for (const {digest, atMs} of state.peers.values()) {
    if (nowMs - atMs > maxAgeMs) staleCount += 1;
    else if (digest.isReady && !digest.isLeaving) {
      nodes.push({...digest, nodeId: digest.from, ageMs: nowMs - atMs});
    }
  }
  if (staleCount > state.peers.size / 2) return undefined;
  return preferReachable(nodes).map(({callerAddress}) => callerAddress);
}

/** Leaves out nodes that can't reach all services, unless the others would have to bear much more than they usually do. */
function preferReachable(nodes: RosterNode[]): RosterNode[] {
  const reachable = nodes.filter(
    ({unreachableServices}) => unreachableServices.length === 0,
  );
  return sumCores(reachable) >= MIN_REACHABLE_SHARE * sumCores(nodes)
    ? reachable
    : nodes;
}

/** Selects the largest nodes of the caller's zone up to the capacity that it needs, and nodes of other zones if it has too few. */
function selectActiveNodes(
  state: ServingState,
  nowMs: number,
  zone: ZoneId,
): string[] {
  const maxAgeMs = resolvePeerMaxAgeMs(state);
  const readyNodes = [...listPeerNodes(state, nowMs).values()].filter(
    node => node.isReady && !node.isLeaving && node.ageMs < maxAgeMs,
  );
  if (isReady(state, nowMs)) readyNodes.push(describeSelf(state));
  const ranked = rankRoster(preferReachable(readyNodes));
  const inZone = ranked.filter(node => node.zone === zone);
  const neededCores = ACTIVE_CORE_SHARE * sumCores(inZone);
  const activeNodes: RosterNode[] = [];
  let coreCount = 0;
  for (const node of inZone) {
    if (activeNodes.length >= MIN_ACTIVE_NODES && coreCount >= neededCores)
      break;
    activeNodes.push(node);
    coreCount += node.coreCount;
  }
  if (activeNodes.length < MIN_ACTIVE_NODES) {
    const others = ranked.filter(node => node.zone !== zone);
    activeNodes.push(...others.slice(0, MIN_ACTIVE_NODES - activeNodes.length));
  }
  return activeNodes.map(({callerAddress}) => callerAddress);
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
    unreachableServices: listUnreachableServices(state),
  };
}

function sumCores(nodes: readonly RosterNode[]): number {
  return nodes.reduce((sum, {coreCount}) => sum + coreCount, 0);
}
