import type {EngineCosts, EngineRecord, ModelSpec} from '../fleet/types.js';
import type {ReplicaTrack} from './types.js';
import type {ServingStep} from '../serving/types.js';
import {isCold} from './is_cold.js';
import {isEvacuatedTrack} from './is_evacuated_track.js';
import {isReallocationBalanced} from './is_reallocation_balanced.js';
import {measureUse} from './measure_use.js';
import {setPhase} from './set_phase.js';

/**
 * Size ratio from which one lost engine of the larger model frees engines for
 * several replicas of the smaller one, which all would have to close again before
 * the larger model has its replica back.
 */
const MIN_SIZE_RATIO = 3;
/** Open replicas below which a model gets one back whatever the other model's load: the next loss would cost it a third of its slots. */
const MIN_REPLICAS = 4;
/** Share of slots in use up to which the other model may give up a replica nevertheless. */
const MAX_DONOR_USE = 0.8;
/** How long the engines stay reserved: closing takes up to three seconds. */
const RESERVATION_MS = 5000;

/**
 * Closes one replica of a smaller model if its engines complete the free ones of
 * the domain to a replica of the neediest model, and reserves them for it; returns
 * whether they are reserved. Losses that come in series would otherwise leave the
 * engines of each broken large replica to small ones.
 */
export function completeReplica(
  step: ServingStep,
  costs: EngineCosts,
  domain: string,
  free: readonly EngineRecord[],
  neediest: ModelSpec,
): boolean {
  const {state, nowMs} = step;
  const {steward} = state;
  if (!steward.hasTraffic || steward.reservedDomains.has(domain)) return false;
  const missing = neediest.size - free.length;
  for (const donor of costs.models) {
    if (neediest.size < MIN_SIZE_RATIO * donor.size) continue;
    if (missing < 1 || missing > donor.size) continue;
    const track = findDonorReplica(step, domain, donor, neediest);
    if (!track || !mayClose(step, costs, track, donor, neediest)) continue;
    steward.reservedDomains.set(domain, {
      model: neediest.name,
      untilMs: nowMs + RESERVATION_MS,
      replicaCount: 1,
    });
    setPhase(step, track, 'closing', `completes a replica of ${neediest.name}`);
    return true;
  }
  return false;
}

/** An open replica of the domain whose engines all have the weights of the neediest model; undefined if there is none. */
function findDonorReplica(
  {state}: ServingStep,
  domain: string,
  donor: ModelSpec,
  neediest: ModelSpec,
): ReplicaTrack | undefined {
  for (const track of state.steward.tracks.values()) {
    if ((track.domain ?? '') !== domain || track.phase !== 'open') continue;
    if (track.model !== donor.name || isEvacuatedTrack(state, track)) continue;
    const isWarm = track.members.every(vmId => {
      const engine = state.engines.get(vmId);
      return engine !== undefined && !isCold(engine, neediest.name);
    });
    if (isWarm) return track;
  }
  return undefined;
}

function mayClose(
  {state}: ServingStep,
  {slotCount}: EngineCosts,
  track: ReplicaTrack,
  donor: ModelSpec,
  neediest: ModelSpec,
): boolean {
  const {replicas, inFlight} = measureUse(state, donor);
  if (replicas <= MIN_REPLICAS) return false;
  const reallocation = {
    domain: track.domain ?? '',
    replicasToClose: [track],
    coldEngines: [],
  };
  if (isReallocationBalanced(state, neediest, donor, reallocation, slotCount)) {
    return true;
  }
  const isScarce = measureUse(state, neediest).replicas < MIN_REPLICAS;
  const useAfter = inFlight / ((replicas - 1) * slotCount);
  return isScarce && useAfter < MAX_DONOR_USE;
}
