import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {isEvidenceSound} from '../serving/reachability/index.js';
import {isSilentToPeers} from './is_silent_to_peers.js';
import {requestPeerProbes} from './request_peer_probes.js';

/** Peers that must find a head unresponsive. */
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
  requestPeerProbes(step, {vmId, address});
  if (!isEvidenceSound(state, vmId)) return false;
  const own = steward.probes.get(vmId);
  if (!own || own.unansweredCount < MIN_UNANSWERED_PROBES) return false;
  return isSilentToPeers(state, vmId, MIN_UNRESPONSIVE_PEERS);
}
