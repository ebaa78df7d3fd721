import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {probeEngine} from './probe_engine.js';

/** Probes the members of replicas that some node sees standing still, to find the one that is lost before the store does. */
export function probeMembers(step: ServingStep, track: ReplicaTrack): void {
  if (track.phase !== 'open' && track.phase !== 'opening') return;
  if (!isSuspect(step, track.members[0]!)) return;
  for (const vmId of track.members) {
    const engine = step.state.engines.get(vmId);
    if (engine) probeEngine(step, engine);
  }
}

function isSuspect(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  const own = state.loads.get(vmId)?.suspectUntilMs ?? -Infinity;
  const peers = state.peerLoads.get(vmId)?.suspectUntilMs ?? -Infinity;
  return Math.max(own, peers) > nowMs;
}
