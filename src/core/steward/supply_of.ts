import type {ModelSpec} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';

const LEAST_SHARE = 0.01;

/** Engines that serve a model or will, per part of the work that it has. */
export function supplyOf(step: ServingStep, model: ModelSpec): number {
  let replicas = 0;
  for (const track of step.state.steward.tracks.values()) {
    const counts = track.phase !== 'closing' && track.phase !== 'leaving';
    if (counts && track.model === model.name) replicas += 1;
  }
  return (replicas * model.size) / Math.max(model.workShare, LEAST_SHARE);
}
