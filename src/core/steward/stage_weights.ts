import type {EngineCosts, EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {countFreeLoadSlots} from './count_free_load_slots.js';
import {isLeavingEngine} from '../serving/announcements/index.js';
import {sendOrder} from './send_order.js';
import {recordWeightLoad} from './record_weight_load.js';
import {replicaName} from './replica_name.js';

/**
 * Stages weights of a second model on the hosts of engines that have one in
 * memory, so that they can join a replica of either model within a second or two.
 *
 * Before the first request all engines are prepared, which costs next to
 * nothing then; later only spares are, within the limits on weight loads.
 */
export function stageWeights(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
): void {
  const {state} = step;
  const {steward} = state;
  if (costs.models.length < 2) return;
  for (const engine of state.engines.values()) {
    if (engine.service !== service) continue;
    if (isLeavingEngine(state, engine)) continue;
    if (!isSettled(engine) || steward.weightLoadEndsMs.has(engine.vmId))
      continue;
    if (steward.hasTraffic && !isSpare(engine)) continue;
    const other = selectOther(engine, costs);
    if (!other || engine.stagedModels.includes(other.name)) continue;
    if (countFreeLoadSlots(step, costs) < 1) return;
    recordWeightLoad(step, engine.vmId, other.loadMs);
    sendOrder(step, engine, {kind: 'stage', model: other.name});
  }
}

function isSettled({membership}: EngineRecord): boolean {
  return membership?.stage === 'ready' || membership?.stage === 'open';
}

function isSpare({membership}: EngineRecord): boolean {
  return membership !== undefined && replicaName.isSpare(membership.replicaId);
}

/** The model with the largest work share among those that the engine does not have in memory. */
function selectOther(
  engine: EngineRecord,
  costs: EngineCosts,
): ModelSpec | undefined {
  return [...costs.models]
    .filter(({name}) => name !== engine.models[0])
    .sort((a, b) => b.workShare - a.workShare)[0];
}
