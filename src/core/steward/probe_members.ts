import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';

/** Pause between two probes of one engine. */
const PROBE_AGAIN_MS = 400;

/** Probes the members of replicas that some node sees standing still, to find the one that is lost before the store does. */
export function probeMembers(step: ServingStep, track: ReplicaTrack): void {
  if (track.phase !== 'open' && track.phase !== 'opening') return;
  if (!isSuspect(step, track.members[0]!)) return;
  const {state, nowMs} = step;
  const {probes} = state.steward;
  for (const vmId of track.members) {
    const engine = state.engines.get(vmId);
    if (!engine) continue;
    const probe = probes.get(vmId) ?? {sentAtMs: -Infinity, silentInRow: 0};
    if (nowMs - probe.sentAtMs < PROBE_AGAIN_MS) continue;
    probe.sentAtMs = nowMs;
    probes.set(vmId, probe);
    step.effects.push({type: 'probeEngine', vmId, address: engine.address});
  }
}

function isSuspect(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  const own = state.loads.get(vmId)?.suspectUntilMs ?? -Infinity;
  const peers = state.peerLoads.get(vmId)?.suspectUntilMs ?? -Infinity;
  return Math.max(own, peers) > nowMs;
}
