import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {isSlow} from '../serving/is_slow.js';
import {isUnderSuspicion} from '../serving/is_under_suspicion.js';
import {probeEngine} from './probe_engine.js';

/** Pause between two probes of an engine whose replica is slow. */
const SLOW_AGAIN_MS = 1500;

/** Probes the members of replicas that some node sees slow or standing still, to find the one that is lost, or slow, before the store does. */
export function probeMembers(step: ServingStep, track: ReplicaTrack): void {
  if (track.phase !== 'open' && track.phase !== 'opening') return;
  const head = track.members[0]!;
  const isSilent = isUnderSuspicion(step.state, head, step.nowMs);
  if (!isSilent && !isSlowReplica(step, head)) return;
  for (const vmId of track.members) {
    const engine = step.state.engines.get(vmId);
    if (!engine) continue;
    probeEngine(step, engine, isSilent ? undefined : SLOW_AGAIN_MS);
  }
}

function isSlowReplica(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  const load = state.loads.get(vmId);
  const isSlowHere = load !== undefined && load.inFlight > 0 && isSlow(load);
  const slowUntilMs = state.peerLoads.get(vmId)?.slowUntilMs ?? -Infinity;
  return isSlowHere || slowUntilMs > nowMs;
}
