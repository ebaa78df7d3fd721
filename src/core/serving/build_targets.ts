import type {EngineRecord, ModelSpec, ReplicaView} from '../fleet/types.js';
import type {ServingState, ServingTarget} from './types.js';
import {buildReplicas, replicaKey} from '../fleet/index.js';
import {isEvacuated, isEvacuationKnown} from './evacuation/index.js';
import {isLeavingEngine} from './announcements/index.js';
import {isLostEngine} from './is_lost_engine.js';
import {poolOfTarget} from './pool_of_target.js';

/** Derives replicas and targets from the engines and the configuration, and removes the loads of engines that are no longer listed. */
export function buildTargets(state: ServingState): void {
  state.replicas = buildReplicas(state.engines.values());
  state.targetsByPool = new Map();
  state.targets = new Map();
  const evacuatedPools = new Set<string>();
  state.evacuation.evacuatedPools = evacuatedPools;
  for (const engine of state.engines.values()) {
    const target = resolveTarget(state, engine);
    if (!target) continue;
    const pool = poolOfTarget(target);
    if (!isEvacuationKnown(state) || isEvacuated(state, engine.zone)) {
      evacuatedPools.add(pool);
      continue;
    }
    const poolTargets = state.targetsByPool.get(pool);
    if (poolTargets) poolTargets.push(target);
    else state.targetsByPool.set(pool, [target]);
    state.targets.set(engine.vmId, target);
  }
  for (const [vmId, load] of state.targetLoads) {
    if (!state.engines.has(vmId) && load.inFlight === 0) {
      state.targetLoads.delete(vmId);
    }
  }
}

function resolveTarget(
  state: ServingState,
  engine: EngineRecord,
): ServingTarget | undefined {
  const costs = state.config?.services.get(engine.service)?.engine;
  if (isLostEngine(state, engine)) return undefined;
  if (isLeavingEngine(state, engine)) return undefined;
  if (!costs) {
    return {
      vmId: engine.vmId,
      engine,
      slotCount: Math.max(1, engine.slotCount),
      pace: 1,
    };
  }
  const model = costs.models.find(({name}) => name === engine.models[0]);
  const replica = findServingReplica(state, engine, model);
  if (!replica || !model) return undefined;
  return {
    vmId: engine.vmId,
    engine,
    slotCount: costs.slotCount,
    pace: model.pace,
    costs,
    replica,
  };
}

/** The replica whose open head the engine is; undefined if it is no open head, or a member is missing or lost. */
function findServingReplica(
  state: ServingState,
  engine: EngineRecord,
  model: ModelSpec | undefined,
): ReplicaView | undefined {
  const {membership} = engine;
  if (!model || membership?.rank !== 0 || membership.stage !== 'open') {
    return undefined;
  }
  const key = replicaKey(membership.replicaId, membership.epoch);
  const replica = state.replicas.get(key);
  if (!replica || replica.members.size < model.size) return undefined;
  for (const member of replica.members.values()) {
    if (isLostEngine(state, member)) return undefined;
  }
  return replica;
}
