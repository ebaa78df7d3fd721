import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {rankWeightLocality} from './rank_weight_locality.js';
import {listFreeEngines} from './list_free_engines.js';

/** Minimum time in the open phase before a member is replaced, so that a replica is not dissolved repeatedly. */
const MIN_OPEN_MS = 1500;

/** Finds a slow member, if warm spares can replace all slow members; undefined otherwise. The whole replica runs at the pace of its slowest member. */
export function findReplaceable(
  step: ServingStep,
  track: ReplicaTrack,
): VmId | undefined {
  const {state, nowMs} = step;
  const {slowEngines} = state.steward;
  if (slowEngines.size === 0) return undefined;
  if (nowMs - track.phaseSinceMs < MIN_OPEN_MS) return undefined;
  const slow = track.members.filter(vmId => slowEngines.has(vmId));
  if (slow.length === 0) return undefined;
  const free =
    listFreeEngines(state, track.service).get(track.domain ?? '') ?? [];
  const spares = free.filter(
    engine =>
      !slowEngines.has(engine.vmId) &&
      rankWeightLocality(engine, track.model) === 0 &&
      engine.membership?.stage !== 'joining',
  );
  return spares.length >= slow.length ? slow[0] : undefined;
}
