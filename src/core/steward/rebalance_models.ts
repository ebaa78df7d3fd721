import type {EngineCosts, ModelSpec} from '../fleet/types.js';
import type {ModelReallocation, ReplicaTrack} from './types.js';
import type {ServiceName} from '../ids/index.js';
import type {ServingStep} from '../serving/types.js';
import {countFreeLoadSlots} from './count_free_load_slots.js';
import {isEvacuatedTrack} from './is_evacuated_track.js';
import {sendOrder} from './send_order.js';
import {planReallocation} from './plan_reallocation.js';
import {recordWeightLoad} from './record_weight_load.js';
import {isReallocationBalanced} from './is_reallocation_balanced.js';
import {listFreeEngines} from './list_free_engines.js';
import {setPhase} from './set_phase.js';
import {supplyOf} from './supply_of.js';

/** A model is underprovisioned when its supply is below this fraction of another model's. */
const MIN_SUPPLY_RATIO = 0.72;
/** How long an imbalance must last before replicas are closed for it. */
const IMBALANCE_MIN_MS = 3000;
/** How long the freed engines stay reserved for the underprovisioned model: closing takes up to three seconds. */
const RESERVATION_MS = 5000;
/** Minimum time between two exchanges by measured shares: replicas of one domain at a time are missing while they close. */
const MEASURED_INTERVAL_MS = 1500;
/** Replicas that a model keeps when others are closed by measured shares: losses that come in series take two or three at a time. */
const MIN_DONOR_REPLICAS = 6;

/**
 * Closes replicas of the model with the most supply, one domain at a time,
 * where their engines and the free ones can form a replica of the model with
 * the least. Engines without its weights load them first, while they serve.
 */
export function rebalanceModels(
  step: ServingStep,
  service: ServiceName,
  costs: EngineCosts,
): void {
  const {state, nowMs} = step;
  const {steward} = state;
  const models = [...costs.models].sort(
    (a, b) => supplyOf(step, a) - supplyOf(step, b),
  );
  const recipient = models[0];
  const donor = models.at(-1);
  if (!recipient || !donor) return;
  if (supplyOf(step, recipient) >= MIN_SUPPLY_RATIO * supplyOf(step, donor)) {
    steward.imbalancedSinceMs = undefined;
    return;
  }
  steward.imbalancedSinceMs ??= nowMs;
  if (nowMs - steward.imbalancedSinceMs < IMBALANCE_MIN_MS) return;
  if (isExchanging(step)) return;
  // Replicas in evacuated zones stay as they are: closing one frees no engine that gets requests.
  const tracks = [...steward.tracks.values()].filter(
    track => track.service === service && !isEvacuatedTrack(state, track),
  );
  const isMeasured = steward.workShares.size > 0;
  const donorCount = tracks.filter(
    ({model, phase}) => model === donor.name && phase === 'open',
  ).length;
  const spareReplicas = isMeasured ? donorCount - MIN_DONOR_REPLICAS : Infinity;
  const free = listFreeEngines(state, service);
  const options: ModelReallocation[] = [];
  for (const [domain, ofDomain] of groupByDomain(tracks)) {
    // Losses come in series: replicas of other domains that wait for a lost head must not block this one.
    if (ofDomain.some(({phase}) => phase !== 'open')) continue;
    if (isReserved(step, domain)) continue;
    const reallocation = planReallocation(step, recipient, {
      domain,
      donor,
      candidates: ofDomain.filter(({model}) => model === donor.name),
      free: free.get(domain) ?? [],
    });
    if (!reallocation) continue;
    if (reallocation.replicasToClose.length > spareReplicas) continue;
    options.push(reallocation);
  }
  const best = options.sort(
    (a, b) => a.coldEngines.length - b.coldEngines.length,
  )[0];
  if (!best) return;
  if (!isReallocationBalanced(state, recipient, donor, best, costs.slotCount))
    return;
  if (best.coldEngines.length > 0) {
    prepareEngines(step, costs, recipient, best);
    return;
  }
  if (!isMeasured) steward.imbalancedSinceMs = undefined;
  steward.reallocatedAtMs = nowMs;
  const freed = best.replicasToClose.length * donor.size;
  const spares = free.get(best.domain)?.length ?? 0;
  steward.reservedDomains.set(best.domain, {
    model: recipient.name,
    untilMs: nowMs + RESERVATION_MS,
    replicaCount: isMeasured
      ? Math.floor((freed + spares) / recipient.size)
      : 0,
  });
  for (const track of best.replicasToClose) {
    setPhase(step, track, 'closing', `${recipient.name} has too few engines`);
  }
}

/** Whether the last exchange is still under way. Measured shares show by how much a model lacks replicas, so the next one need not wait for its result. */
function isExchanging({state, nowMs}: ServingStep): boolean {
  const {workShares, reallocatedAtMs, reservedDomains} = state.steward;
  if (workShares.size > 0) {
    return nowMs - reallocatedAtMs < MEASURED_INTERVAL_MS;
  }
  return [...reservedDomains.values()].some(({untilMs}) => nowMs < untilMs);
}

/** Stages the recipient's weights on the hosts of the cold engines, which keep serving meanwhile. */
function prepareEngines(
  step: ServingStep,
  costs: EngineCosts,
  recipient: ModelSpec,
  {coldEngines}: ModelReallocation,
): void {
  for (const engine of coldEngines) {
    if (step.state.steward.weightLoadEndsMs.has(engine.vmId)) continue;
    if (countFreeLoadSlots(step, costs) < 1) return;
    recordWeightLoad(step, engine.vmId, recipient.loadMs);
    sendOrder(step, engine, {kind: 'stage', model: recipient.name});
  }
}

function isReserved({state, nowMs}: ServingStep, domain: string): boolean {
  const reservation = state.steward.reservedDomains.get(domain);
  return reservation !== undefined && nowMs < reservation.untilMs;
}

function groupByDomain(
  tracks: readonly ReplicaTrack[],
): Map<string, ReplicaTrack[]> {
  const byDomain = new Map<string, ReplicaTrack[]>();
  for (const track of tracks) {
    const domain = track.domain ?? '';
    const ofDomain = byDomain.get(domain);
    if (ofDomain) ofDomain.push(track);
    else byDomain.set(domain, [track]);
  }
  return byDomain;
}
