import type {EngineRecord} from '../fleet/types.js';
import type {ServingState} from './types.js';

/** Whether an engine's present life was found to have ended, before the store says so. */
export function isKnownLost(
  state: ServingState,
  engine: EngineRecord,
): boolean {
  return state.lostEngines.get(engine.vmId)?.bornAtMs === engine.bornAtMs;
}
