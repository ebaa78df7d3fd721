import type {EngineRecord} from '../../fleet/types.js';
import type {ServingState} from '../types.js';

/** Whether an engine is leaving, by its entry in the store or its announcement to this node itself. Reports of peers do not count. */
export function isLeavingConfirmed(
  {announcements}: ServingState,
  engine: EngineRecord,
): boolean {
  const announced = announcements.leaving.get(engine.vmId);
  return (
    engine.isLeaving ||
    (announced?.isFirstHand === true && announced.bornAtMs === engine.bornAtMs)
  );
}
