import type {EngineCosts, EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';
import {countFreeLoadSlots} from './count_free_load_slots.js';
import {rankWeightLocality} from './rank_weight_locality.js';
import {sendOrder} from './send_order.js';
import {logDecision} from '../serving/log_decision.js';
import {nextEpoch} from './next_epoch.js';
import {recordWeightLoad} from './record_weight_load.js';
import {replicaName} from './replica_name.js';

/**
 * Orders the free engines of a domain to load weights into memory, so that a
 * lost member is replaced in a fraction of a second.
 *
 * The largest model comes first: its replicas have the most members that can
 * fail and the longest weight load.
 */
export function warmSpares(
  step: ServingStep,
  costs: EngineCosts,
  free: readonly EngineRecord[],
): void {
  const models = [...costs.models].sort((a, b) => b.size - a.size);
  if (models.length === 0) return;
  const wanted = free.map((_, at) => models[at % models.length]!);
  const unassigned = [...free];
  const missing: ModelSpec[] = [];
  for (const model of wanted) {
    const at = unassigned.findIndex(
      one => rankWeightLocality(one, model.name) <= 1,
    );
    if (at < 0) {
      missing.push(model);
      continue;
    }
    const [engine] = unassigned.splice(at, 1);
    warmUp(step, engine!, model);
  }
  for (const model of missing) {
    const engine = unassigned.shift();
    if (!engine || engine.membership?.stage === 'joining') continue;
    if (countFreeLoadSlots(step, costs) < 1) return;
    recordWeightLoad(step, engine.vmId, model.loadMs);
    warmUp(step, engine, model);
  }
}

function warmUp(
  step: ServingStep,
  engine: EngineRecord,
  model: ModelSpec,
): void {
  const {membership} = engine;
  const isSpare =
    membership !== undefined && replicaName.isSpare(membership.replicaId);
  const isInMemory = engine.models[0] === model.name;
  if (isInMemory || (isSpare && membership.stage === 'joining')) return;
  const {steward} = step.state;
  const wasJustOrdered = [...steward.sentAtMs].some(
    ([id, atMs]) =>
      id.startsWith(`${engine.vmId}/join/`) && step.nowMs - atMs < 3000,
  );
  if (wasJustOrdered) return;
  const epoch = nextEpoch(steward);
  const replicaId = replicaName.ofSpare(engine.vmId, epoch);
  logDecision(step, 'info', 'steward', 'spare warm-up ordered', {
    vmId: engine.vmId,
    model: model.name,
    models: engine.models,
    staged: engine.stagedModels,
  });
  sendOrder(step, engine, {
    kind: 'join',
    replicaId,
    epoch,
    model: model.name,
    members: [engine.vmId],
  });
}
