import type {ModelSpec} from '../fleet/types.js';
import type {ServingState} from '../serving/types.js';

/** Counts the open replicas of a model and the requests of all nodes there. Every replica has the same number of slots, whatever its model. */
export function measureUse(
  {targets, targetLoads, peerLoads}: ServingState,
  {name}: ModelSpec,
): {readonly inFlight: number; readonly replicas: number} {
  let inFlight = 0;
  let replicas = 0;
  for (const {vmId, engine, replica} of targets.values()) {
    if (!replica || engine.models[0] !== name) continue;
    replicas += 1;
    inFlight += targetLoads.get(vmId)?.inFlight ?? 0;
    inFlight += peerLoads.get(vmId)?.inFlight ?? 0;
  }
  return {inFlight, replicas};
}
