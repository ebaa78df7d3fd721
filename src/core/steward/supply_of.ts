import type {ModelSpec} from '../fleet/types.js';
import type {ServingStep} from '../serving/types.js';
import {isEvacuatedTrack} from './is_evacuated_track.js';

/** Lower bound on a model's share, so that a share of 0 does not divide by zero. */
const MIN_WORK_SHARE = 0.01;

/**
 * Returns the supply of a model: engines in replicas that serve it or will, per
 * unit of its measured or configured share of the work. Replicas in evacuated
 * zones get no requests and don't count, unless there are no others.
 */
export function supplyOf(
  {state, nowMs}: ServingStep,
  model: ModelSpec,
): number {
  const {tracks, reservedDomains, workShares} = state.steward;
  let replicas = 0;
  let evacuated = 0;
  let hasOthers = false;
  for (const track of tracks.values()) {
    if (track.phase === 'closing' || track.phase === 'leaving') continue;
    const isEvacuated = isEvacuatedTrack(state, track);
    if (!isEvacuated) hasOthers = true;
    if (track.model !== model.name) continue;
    if (isEvacuated) evacuated += 1;
    else replicas += 1;
  }
  for (const reservation of reservedDomains.values()) {
    if (nowMs >= reservation.untilMs) continue;
    if (reservation.model === model.name) replicas += reservation.replicaCount;
  }
  const counted = hasOthers ? replicas : evacuated;
  const share = workShares.get(model.name) ?? model.workShare;
  return (counted * model.size) / Math.max(share, MIN_WORK_SHARE);
}
