import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';

/** Whether an engine is leaving, by its entry in the store or by its own word in an answer. */
export function isLeavingEngine(
  {announcements}: ServingState,
  engine: EngineRecord,
): boolean {
  const told = announcements.leaving.get(engine.vmId);
  return engine.isLeaving || told?.bornAtMs === engine.bornAtMs;
}
