import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';

interface EvacuationView {
  readonly evacuation?: {
    /** When each zone was returned to service, by this node's clock. */
    readonly returnedAtMsByZone: ReadonlyMap<ZoneId, number>;
  };
}

/** Returns since when an engine has to be taken for cold without evidence: its zone was returned to service then. Undefined: it has not. */
export function presumedColdSinceMs(
  {evacuation}: ServingState & EvacuationView,
  engine: EngineRecord,
): number | undefined {
  return evacuation?.returnedAtMsByZone.get(engine.zone);
}
