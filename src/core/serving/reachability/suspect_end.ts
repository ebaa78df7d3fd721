import type {EngineRecord} from '../../fleet/types.js';
import type {PendingLoss} from './types.js';
import type {ServingStep} from '../types.js';
import {checkEnd} from './check_end.js';
import {logDecision} from '../log_decision.js';
import {requestPeerProbes} from '../../steward/request_peer_probes.js';

/** Suspects that the process of an engine that refused a connection has ended, and tells the peers, so that their evidence and this node's can be compared. */
export function suspectEnd(
  step: ServingStep,
  engine: EngineRecord,
  {proof, atMs}: PendingLoss,
): void {
  const {state, nowMs} = step;
  const {vmId, bornAtMs} = engine;
  const {suspectedEnds} = state.reachability;
  if (suspectedEnds.get(vmId)?.bornAtMs === bornAtMs) return;
  suspectedEnds.set(vmId, {bornAtMs, proof, sinceMs: atMs, isConfirmed: false});
  state.lastProbeAtMs.set(vmId, nowMs);
  state.probeResults.set(vmId, {
    isSilent: true,
    hasResponded: false,
    atMs: nowMs,
  });
  const peers = requestPeerProbes(step, engine);
  logDecision(step, 'info', 'reachability', 'end of engine suspected', {
    vmId,
    proof,
    peers,
  });
  checkEnd(step, vmId);
}
