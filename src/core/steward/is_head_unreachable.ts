import type {NodeId, VmId} from '../ids/index.js';
import type {ReplicaTrack} from './types.js';
import type {ServingState, ServingStep} from '../serving/types.js';
import {isEvidenceSound} from '../serving/reachability/index.js';
import {listPeerNodes} from '../serving/relays/list_peer_nodes.js';

/** Peers that are requested to probe a head, and how many of them must find it unresponsive. */
const PROBING_PEERS = 4;
const MIN_UNRESPONSIVE_PEERS = 2;
/** The steward's own consecutive probes that must time out. */
const MIN_UNANSWERED_PROBES = 2;

/**
 * Whether a head that the store no longer lists is unreachable: neither the
 * steward's probes nor those of the peers that it requests to probe are
 * answered. A head that is only partitioned from some nodes, or from the store,
 * responds to other nodes and still counts as open.
 */
export function isHeadUnreachable(
  step: ServingStep,
  track: ReplicaTrack,
): boolean {
  const {state} = step;
  const {steward} = state;
  const vmId = track.members[0]!;
  const address = track.headAddress;
  if (address === undefined) return false;
  if (!steward.probeRequests.has(vmId)) {
    const peers = selectPeers(step, PROBING_PEERS);
    steward.probeRequests.set(vmId, {vmId, address, peers});
  }
  if (!isEvidenceSound(state, vmId)) return false;
  const own = steward.probes.get(vmId);
  if (!own || own.consecutiveTimeouts < MIN_UNANSWERED_PROBES) return false;
  const {silent, reached} = countProbeReports(state, vmId);
  return reached === 0 && silent >= MIN_UNRESPONSIVE_PEERS;
}

function countProbeReports(state: ServingState, vmId: VmId) {
  const isSilent = new Map<NodeId, boolean>();
  for (const {digest} of state.peers.values()) {
    for (const report of digest.probeReports) {
      if (report.vmId !== vmId || report.nodeId === state.nodeId) continue;
      isSilent.set(report.nodeId, report.isSilent);
    }
  }
  const silent = [...isSilent.values()].filter(Boolean).length;
  return {silent, reached: isSilent.size - silent};
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
