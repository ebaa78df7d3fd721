import type {EngineRecord} from '../fleet/types.js';
import type {ServiceName, VmId} from '../ids/index.js';
import type {ServingState} from '../serving/types.js';
import {isLeavingEngine} from '../serving/announcements/index.js';
import {isLostEngine} from '../serving/is_lost_engine.js';
import {replicaKey} from '../fleet/index.js';

/** Engines of a service that can join a replica, by domain; `''` stands for no domain. Excludes members of managed replicas, and leaving or lost engines. */
export function listFreeEngines(
  state: ServingState,
  service: ServiceName,
): Map<string, EngineRecord[]> {
  const assigned = new Set<VmId>();
  for (const {members} of state.steward.tracks.values()) {
    for (const vmId of members) assigned.add(vmId);
  }
  const byDomain = new Map<string, EngineRecord[]>();
  for (const engine of state.engines.values()) {
    if (engine.service !== service) continue;
    if (isLeavingEngine(state, engine)) continue;
    if (assigned.has(engine.vmId) || reportsManagedReplica(state, engine))
      continue;
    if (isLostEngine(state, engine)) continue;
    const domain = engine.domain ?? '';
    const ofDomain = byDomain.get(domain);
    if (ofDomain) ofDomain.push(engine);
    else byDomain.set(domain, [engine]);
  }
  return byDomain;
}

/** Whether an engine's own record names a managed replica: an engine that was unlisted for a while may be missing from the member list. */
function reportsManagedReplica(
  state: ServingState,
  {membership}: EngineRecord,
): boolean {
  if (!membership) return false;
  const key = replicaKey(membership.replicaId, membership.epoch);
  return state.steward.tracks.has(key);
}
