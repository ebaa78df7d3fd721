import type {EngineCosts} from '../fleet/types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {adoptReplicas} from './adopt_replicas.js';
import {probeLeavingEngines} from './probe_leaving_engines.js';
import {expireWeightLoads} from './expire_weight_loads.js';
import {advanceReplica} from './advance_replica.js';
import {formReplicas} from './form_replicas.js';
import {listFreeEngines} from './list_free_engines.js';
import {measureWorkShares} from './measure_work_shares.js';
import {warmSpares} from './warm_spares.js';
import {probeMembers} from './probe_members.js';
import {probeSlow} from './probe_slow.js';
import {rebalanceModels} from './rebalance_models.js';
import {stageWeights} from './stage_weights.js';

/** The first replicas are formed once the set of engines has not changed for this long. */
const FLEET_STABLE_MS = 500;

/** Runs one reconciliation of a service: moves its replicas towards what its engines allow and its models need. */
export function planService(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
): void {
  const {state, nowMs} = step;
  const {steward} = state;
  expireWeightLoads(step);
  measureWorkShares(step, service, costs);
  probeLeavingEngines(step, service);
  adoptReplicas(step, service);
  for (const track of [...steward.tracks.values()]) {
    if (track.service !== service) continue;
    probeMembers(step, track);
    advanceReplica(step, track);
  }
  probeSlow(step);
  const isFirst = steward.tracks.size === 0;
  if (isFirst && nowMs - state.fleetChangedAtMs < FLEET_STABLE_MS) return;
  const domains = [...listFreeEngines(state, service)].sort(([a], [b]) =>
    a < b ? -1 : 1,
  );
  for (const [domain, free] of domains) {
    formReplicas(step, service, costs, domain, free);
    const smallest = Math.min(...costs.models.map(({size}) => size));
    if (free.length < smallest || steward.hasTraffic) {
      warmSpares(step, costs, free);
    }
  }
  stageWeights(step, service, costs);
  rebalanceModels(step, service, costs);
}
