import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Returns since when this node knows that an engine is leaving, by its entry in the store, its announcement, or the removal of its entry; undefined if it isn't. */
export function findLeavingSinceMs(
  {leavingEngines, announcements, departedEngines}: ServingState,
  vmId: VmId,
  bornAtMs: number,
): number | undefined {
  const signs = [leavingEngines, announcements.leaving, departedEngines]
    .map(engines => engines.get(vmId))
    .filter(engine => engine?.bornAtMs === bornAtMs)
    .map(engine => engine!.atMs);
  return signs.length > 0 ? Math.min(...signs) : undefined;
}
