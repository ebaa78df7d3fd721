import type {EngineCosts, ModelSpec} from '../fleet/types.js';
import type {ServingState, ServingStep} from '../serving/types.js';
import type {ServiceName} from '../ids/index.js';
import {measureUse} from './measure_use.js';

/** Time constant of the measured shares: longer than a burst, so that replicas follow the mix of requests and not each peak. */
const AVERAGING_MS = 6000;
/** Lower bound of a measured share, as a fraction of the configured one: some replicas stay for requests that are rare now. */
const MIN_SHARE_FRACTION = 0.5;
/** Use of all slots below which the mix of requests says nothing. */
const MIN_USE = 0.05;
/**
 * Shares are measured only where the engines could form this many replicas of
 * the largest model. In smaller fleets one exchange moves the supply of a model
 * by more than the imbalance that it is to mend.
 */
const MIN_REPLICA_COUNT = 16;

/** Measures the share of each model in the work of a service, by the engines that its requests occupy. */
export function measureWorkShares(
  {state, nowMs}: ServingStep,
  service: ServiceName,
  {models, slotCount}: EngineCosts,
): void {
  const {steward} = state;
  if (!hasScale(state, service, models)) return;
  const use = models.map(model => ({model, ...measureUse(state, model)}));
  const slots = use.reduce((sum, one) => sum + one.replicas * slotCount, 0);
  const inFlight = use.reduce((sum, one) => sum + one.inFlight, 0);
  if (slots === 0 || inFlight < MIN_USE * slots) return;
  const total = use.reduce(
    (sum, one) => sum + one.inFlight * one.model.size,
    0,
  );
  const {workShares} = steward;
  const elapsedMs = nowMs - steward.sharesMeasuredAtMs;
  steward.sharesMeasuredAtMs = nowMs;
  const weight = 1 - Math.exp(-elapsedMs / AVERAGING_MS);
  for (const {model, inFlight: own} of use) {
    const sample = (own * model.size) / total;
    const before = workShares.get(model.name) ?? model.workShare;
    const share = before + weight * (sample - before);
    const minShare = MIN_SHARE_FRACTION * model.workShare;
    workShares.set(model.name, Math.max(minShare, share));
  }
}

function hasScale(
  {engines}: ServingState,
  service: ServiceName,
  models: readonly ModelSpec[],
): boolean {
  const largest = Math.max(...models.map(({size}) => size));
  let count = 0;
  for (const engine of engines.values()) {
    if (engine.service === service) count += 1;
  }
  return count >= MIN_REPLICA_COUNT * largest;
}
