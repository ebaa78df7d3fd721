import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';
import {returnedAtMs} from '../evacuation/index.js';

/** Returns since when an engine has to be taken for cold without evidence: its zone was returned to service then. Undefined: it has not. */
export function presumedColdSinceMs(
  state: ServingState,
  engine: EngineRecord,
): number | undefined {
  return returnedAtMs(state, engine.zone);
}
