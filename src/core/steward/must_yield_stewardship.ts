import type {ServiceName} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';
import {isPathDown} from '../serving/reachability/index.js';
import {listPeerNodes} from '../serving/relays/list_peer_nodes.js';

/** A node whose last digest is older may have stopped. */
const PEER_MAX_AGE_MS = 900;

/** Whether this node can't give orders to the engines of a service while another candidate for the role reaches them all. */
export function mustYieldStewardship(
  state: ServingState,
  nowMs: number,
): boolean {
  const services = [...(state.config?.services.values() ?? [])]
    .filter(({engine}) => engine !== undefined)
    .map(({name}) => name);
  if (!services.some(service => isPathDown(state, service))) return false;
  const {isRelayed, relays} = state.exchange;
  const relayIds = new Set(
    [...relays.values()].flat().map(({nodeId}) => nodeId),
  );
  for (const node of listPeerNodes(state, nowMs).values()) {
    if (!node.isReady || node.isLeaving) continue;
    if (node.ageMs > PEER_MAX_AGE_MS) continue;
    if (isRelayed && !relayIds.has(node.nodeId)) continue;
    if (reachesAll(node.unreachableServices, services)) return true;
  }
  return false;
}

function reachesAll(
  unreachable: readonly ServiceName[],
  services: readonly ServiceName[],
): boolean {
  return !services.some(service => unreachable.includes(service));
}
