import type {NodeId, VmId} from '../ids/index.js';
import type {ReplicaTrack} from './types.js';
import type {ServingState, ServingStep} from '../serving/types.js';
import {listNodes} from '../serving/relays/list_nodes.js';

/** Peers that look for a head, and how many of them must have found it silent. */
const PEERS_ASKED = 4;
const SILENT_PEERS = 2;
/** The steward's own probes without answer. */
const SILENT_PROBES = 2;

/**
 * Whether a head that the store dropped is heard by nobody: not by the steward
 * and not by the peers that it asks. A head that is only cut off from some
 * nodes, or from the store, is heard by others and goes on to count as open.
 */
export function isTakenAsGone(step: ServingStep, track: ReplicaTrack): boolean {
  const {state} = step;
  const {steward} = state;
  const vmId = track.members[0]!;
  const address = track.headAddress;
  if (address === undefined) return false;
  if (!steward.asks.has(vmId)) {
    const peers = selectPeers(step, PEERS_ASKED);
    steward.asks.set(vmId, {vmId, address, peers});
  }
  const own = steward.probes.get(vmId);
  if (!own || own.silentInRow < SILENT_PROBES) return false;
  const {silent, heard} = countOpinions(state, vmId);
  return heard === 0 && silent >= SILENT_PEERS;
}

function countOpinions(state: ServingState, vmId: VmId) {
  const isSilent = new Map<NodeId, boolean>();
  for (const {digest} of state.peers.values()) {
    for (const opinion of digest.opinions) {
      if (opinion.vmId !== vmId || opinion.nodeId === state.nodeId) continue;
      isSilent.set(opinion.nodeId, opinion.isSilent);
    }
  }
  const silent = [...isSilent.values()].filter(Boolean).length;
  return {silent, heard: isSilent.size - silent};
}

function selectPeers({state, nowMs}: ServingStep, count: number): NodeId[] {
  const peers = [...listNodes(state, nowMs).keys()];
  const selected: NodeId[] = [];
  while (selected.length < count && peers.length > 0) {
    const at = state.random.below(peers.length);
    selected.push(...peers.splice(at, 1));
  }
  return selected;
}
