import type {EngineRecord} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';
import {isSilentToPeers} from './is_silent_to_peers.js';
import {requestPeerProbes} from './request_peer_probes.js';

/** Peers that must find an engine silent, if there are as many. */
const MIN_SILENT_PEERS = 2;

/**
 * Whether other nodes confirm that an engine is silent: one has found its
 * replica stalled, or their probes are not answered. This node may have lost the
 * path to single engines only.
 */
export function isSilenceCorroborated(
  step: ServingStep,
  engine: EngineRecord,
): boolean {
  const {state, nowMs} = step;
  const {vmId} = engine;
  let head = vmId;
  for (const {members} of state.steward.tracks.values()) {
    if (members.includes(vmId)) head = members[0]!;
  }
  const suspectUntilMs = state.peerLoads.get(head)?.suspectUntilMs ?? -Infinity;
  if (suspectUntilMs > nowMs) return true;
  const peers = requestPeerProbes(step, engine);
  const count = Math.min(MIN_SILENT_PEERS, peers.length);
  return isSilentToPeers(state, vmId, count);
}
