import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';

/** Whether an engine is leaving, by its entry in the store or by its word to this node itself. */
export function hasSaidToLeave(
  {announcements}: ServingState,
  engine: EngineRecord,
): boolean {
  const said = announcements.leaving.get(engine.vmId);
  return (
    engine.isLeaving ||
    (said?.isOwn === true && said.bornAtMs === engine.bornAtMs)
  );
}
