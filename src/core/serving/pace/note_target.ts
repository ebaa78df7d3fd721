import type {ServingState, ServingTarget} from '../types.js';
import {START_WINDOW} from './start_window.js';
import {startRecovery} from './start_recovery.js';

/** An event of a peer's stream this recent shows that the target serves. */
const PEER_PROGRESS_MS = 1000;

/**
 * Starts the recovery of a target that this node sees open for the first time,
 * or whose engine has restarted. Not of one that peers already use: a node without
 * requests looks at its targets rarely.
 */
export function noteTarget(
  state: ServingState,
  {vmId, engine}: ServingTarget,
  nowMs: number,
): void {
  const {seen} = state.pace;
  if (!seen || seen.get(vmId) === engine.bornAtMs) return;
  seen.set(vmId, engine.bornAtMs);
  const peers = state.peerLoads.get(vmId);
  const isUsed =
    peers !== undefined &&
    peers.inFlight > 2 * START_WINDOW &&
    nowMs - peers.progressAtMs < PEER_PROGRESS_MS;
  if (!isUsed) startRecovery(state, vmId, nowMs);
}
