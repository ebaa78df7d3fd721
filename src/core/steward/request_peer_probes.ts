import type {NodeId, VmId} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {listPeerNodes} from '../serving/relays/list_peer_nodes.js';

/** Peers that are requested to probe an engine. */
const PROBING_PEERS = 4;

/** Requests some peers to probe an engine, unless they already are. Returns these peers. */
export function requestPeerProbes(
  step: ServingStep,
  {vmId, address}: {readonly vmId: VmId; readonly address: string},
): readonly NodeId[] {
  const {probeRequests} = step.state.steward;
  const pending = probeRequests.get(vmId);
  if (pending) return pending.peers;
  const peers = selectPeers(step, PROBING_PEERS);
  probeRequests.set(vmId, {vmId, address, peers});
  return peers;
}

function selectPeers({state, nowMs}: ServingStep, count: number): NodeId[] {
  const peers = [...listPeerNodes(state, nowMs).values()]
    .filter(({unreachableServices}) => unreachableServices.length === 0)
    .map(({nodeId}) => nodeId);
  const selected: NodeId[] = [];
  while (selected.length < count && peers.length > 0) {
    const at = state.random.nextInt(peers.length);
    selected.push(...peers.splice(at, 1));
  }
  return selected;
}
