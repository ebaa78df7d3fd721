import type {RequestRecord, RosterNode, ServingStep} from '../types.js';
import {listPeerNodes} from '../relays/list_peer_nodes.js';
import {resolvePeerMaxAgeMs} from '../resolve_peer_max_age_ms.js';

/** Selects the node that passes a request on: of two random ones that reach the service the one with less work, in this node's zone if both have equally much. */
export function selectPeer(
  {state, nowMs}: ServingStep,
  {service, triedPeers}: RequestRecord,
): RosterNode | undefined {
  const {avoidedUntilMs, inFlight} = state.forwarding;
  const maxAgeMs = resolvePeerMaxAgeMs(state);
  const candidates = [...listPeerNodes(state, nowMs).values()].filter(
    node =>
      node.isReady &&
      !node.isLeaving &&
      node.ageMs < maxAgeMs &&
      !node.unreachableServices.includes(service) &&
      !triedPeers.has(node.nodeId) &&
      (avoidedUntilMs.get(node.nodeId) ?? -Infinity) <= nowMs,
  );
  const loadOf = ({nodeId, coreCount}: RosterNode) =>
    (sumInFlight(state.peers.get(nodeId)?.digest.loads) +
      (inFlight.get(nodeId) ?? 0)) /
    coreCount;
  const first = candidates[state.random.nextInt(candidates.length || 1)];
  const second = candidates[state.random.nextInt(candidates.length || 1)];
  if (!first || !second) return undefined;
  const difference = loadOf(first) - loadOf(second);
  if (difference === 0) return first.zone === state.zone ? first : second;
  return difference < 0 ? first : second;
}

function sumInFlight(
  loads: readonly {readonly inFlight: number}[] = [],
): number {
  return loads.reduce((sum, {inFlight}) => sum + inFlight, 0);
}
