import type {ModelExchange} from './types.js';
import type {ModelSpec} from '../fleet/types.js';
import type {ServingState} from '../serving/types.js';

/** Part of the slots from which a model counts as full: requests are no longer placed evenly then. */
const FULL_SHARE = 0.8;

/**
 * Whether an exchange leaves the model that gives replicas no busier than the
 * one that gets one. The expected shares of work say nothing of the callers of
 * the moment: without this a crest of one model would be answered by taking its replicas.
 */
export function easesLoad(
  state: ServingState,
  short: ModelSpec,
  rich: ModelSpec,
  {closed}: ModelExchange,
  slotCount: number,
): boolean {
  const given = measureUse(state, rich);
  const taken = measureUse(state, short);
  if (given.inFlight === 0) return true;
  const givenAfter = given.replicas - closed.length;
  if (givenAfter < 1) return false;
  const givenUse = given.inFlight / (givenAfter * slotCount);
  // What waits for a model that is full is in nobody's count.
  const isFull = taken.inFlight >= FULL_SHARE * taken.replicas * slotCount;
  if (isFull && givenUse < FULL_SHARE) return true;
  return taken.inFlight / ((taken.replicas + 1) * slotCount) >= givenUse;
}

/** Requests of all nodes at the open replicas of a model; all models have the same slots a replica. */
function measureUse(
  {targets, loads, peerLoads}: ServingState,
  {name}: ModelSpec,
): {readonly inFlight: number; readonly replicas: number} {
  let inFlight = 0;
  let replicas = 0;
  for (const {vmId, engine, replica} of targets.values()) {
    if (!replica || engine.models[0] !== name) continue;
    replicas += 1;
    inFlight += loads.get(vmId)?.inFlight ?? 0;
    inFlight += peerLoads.get(vmId)?.inFlight ?? 0;
  }
  return {inFlight, replicas};
}
