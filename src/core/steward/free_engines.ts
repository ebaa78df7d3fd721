import type {EngineRecord} from '../fleet/types.js';
import type {ServiceName, VmId} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';
import {isLeavingEngine} from '../serving/announcements/index.js';
import {isKnownLost} from '../serving/is_known_lost.js';
import {replicaKey} from '../fleet/index.js';

/** Engines of a service that belong to no replica, by domain. */
export function freeEngines(
  state: ServingState,
  service: ServiceName,
): Map<string, EngineRecord[]> {
  const held = new Set<VmId>();
  for (const {members} of state.steward.tracks.values()) {
    for (const vmId of members) held.add(vmId);
  }
  const byDomain = new Map<string, EngineRecord[]>();
  for (const engine of state.engines.values()) {
    if (engine.service !== service) continue;
    if (isLeavingEngine(state, engine)) continue;
    if (held.has(engine.vmId) || namesTrack(state, engine)) continue;
    if (isKnownLost(state, engine)) continue;
    const domain = engine.domain ?? '';
    const ofDomain = byDomain.get(domain);
    if (ofDomain) ofDomain.push(engine);
    else byDomain.set(domain, [engine]);
  }
  return byDomain;
}

/** Whether an engine says it belongs to a replica that is followed: one that was not listed for a while may be missing among the known members. */
function namesTrack(state: ServingState, {membership}: EngineRecord): boolean {
  if (!membership) return false;
  const key = replicaKey(membership.replicaId, membership.epoch);
  return state.steward.tracks.has(key);
}
