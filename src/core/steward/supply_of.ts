import type {ModelSpec} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';

/** Lower bound on a model's share, so that a share of 0 does not divide by zero. */
const MIN_WORK_SHARE = 0.01;

/** Returns the supply of a model: engines in replicas that serve it or will, per unit of its share of the work. */
export function supplyOf(step: ServingStep, model: ModelSpec): number {
  let replicas = 0;
  for (const track of step.state.steward.tracks.values()) {
    const isActive = track.phase !== 'closing' && track.phase !== 'leaving';
    if (isActive && track.model === model.name) replicas += 1;
  }
  return (replicas * model.size) / Math.max(model.workShare, MIN_WORK_SHARE);
}
