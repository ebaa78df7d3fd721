import type {EngineRecord} from '../fleet/types.js';
import type {ServingState} from './types.js';

/** Whether an engine's current incarnation was found to be lost while the store still lists it. */
export function isLostEngine(
  state: ServingState,
  engine: EngineRecord,
): boolean {
  return state.lostEngines.get(engine.vmId)?.bornAtMs === engine.bornAtMs;
}
