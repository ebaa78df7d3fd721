import type {EngineCosts} from '../fleet/types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {adoptReplicas} from './adopt_replicas.js';
import {confirmLeaving} from './confirm_leaving.js';
import {expireLoads} from './expire_loads.js';
import {followTrack} from './follow_track.js';
import {formReplicas} from './form_replicas.js';
import {freeEngines} from './free_engines.js';
import {keepSpares} from './keep_spares.js';
import {probeMembers} from './probe_members.js';
import {probeSlow} from './probe_slow.js';
import {rebalanceModels} from './rebalance_models.js';
import {stageWeights} from './stage_weights.js';

/** The first replicas are formed once the set of engines has not changed for this long. */
const STILL_MS = 500;

/** Runs one reconciliation of a service: moves its replicas towards what its engines allow and its models need. */
export function planService(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
): void {
  const {state, nowMs} = step;
  const {steward} = state;
  expireLoads(step);
  confirmLeaving(step, service);
  adoptReplicas(step, service);
  for (const track of [...steward.tracks.values()]) {
    if (track.service !== service) continue;
    probeMembers(step, track);
    followTrack(step, track);
  }
  probeSlow(step);
  const isFirst = steward.tracks.size === 0;
  if (isFirst && nowMs - state.fleetChangedAtMs < STILL_MS) return;
  const domains = [...freeEngines(state, service)].sort(([a], [b]) =>
    a < b ? -1 : 1,
  );
  for (const [domain, free] of domains) {
    formReplicas(step, service, costs, domain, free);
    const smallest = Math.min(...costs.models.map(({size}) => size));
    if (free.length < smallest || steward.hasTraffic) {
      keepSpares(step, costs, free);
    }
  }
  stageWeights(step, service, costs);
  rebalanceModels(step, service, costs);
}
