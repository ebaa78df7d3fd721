import type {ModelSpec} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';

/** Lower bound on a model's share, so that a share of 0 does not divide by zero. */
const MIN_WORK_SHARE = 0.01;

/** Returns the supply of a model: engines in replicas that serve it or will, per unit of its measured or configured share of the work. */
export function supplyOf(
  {state, nowMs}: ServingStep,
  model: ModelSpec,
): number {
  const {tracks, reservedDomains, workShares} = state.steward;
  let replicas = 0;
  for (const track of tracks.values()) {
    const isActive = track.phase !== 'closing' && track.phase !== 'leaving';
    if (isActive && track.model === model.name) replicas += 1;
  }
  for (const reservation of reservedDomains.values()) {
    const isActive = nowMs < reservation.untilMs;
    if (isActive && reservation.model === model.name) {
      replicas += reservation.replicaCount;
    }
  }
  const share = workShares.get(model.name) ?? model.workShare;
  return (replicas * model.size) / Math.max(share, MIN_WORK_SHARE);
}
