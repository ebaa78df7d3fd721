import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {isSlow} from '../serving/is_slow.js';
import {isSuspectTarget} from '../serving/is_suspect_target.js';
import {probeEngine} from './probe_engine.js';

/** Interval between probes of an engine whose replica is slow. */
const SLOW_PROBE_INTERVAL_MS = 1500;

/** Probes the members of a serving replica that any node reports as slow or stalled, to find the lost or slow member before its store entry expires. */
export function probeMembers(step: ServingStep, track: ReplicaTrack): void {
  if (track.phase !== 'open' && track.phase !== 'opening') return;
  const head = track.members[0]!;
  const isSuspect = isSuspectTarget(step.state, head, step.nowMs);
  if (!isSuspect && !isSlowReplica(step, head)) return;
  for (const vmId of track.members) {
    const engine = step.state.engines.get(vmId);
    if (!engine) continue;
    probeEngine(step, engine, isSuspect ? undefined : SLOW_PROBE_INTERVAL_MS);
  }
}

function isSlowReplica(step: ServingStep, vmId: VmId): boolean {
  const {state, nowMs} = step;
  const load = state.targetLoads.get(vmId);
  const isSlowHere = load !== undefined && load.inFlight > 0 && isSlow(load);
  const slowUntilMs = state.peerLoads.get(vmId)?.slowUntilMs ?? -Infinity;
  return isSlowHere || slowUntilMs > nowMs;
}
