import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Whether what this node observes of an engine says something about the engine: not while the path between them may be at fault. */
export function isEvidenceSound(
  {reachability, engines}: ServingState,
  vmId: VmId,
): boolean {
  const service = engines.get(vmId)?.service;
  for (const [name, {doubtedSinceMs}] of reachability.paths) {
    if (doubtedSinceMs === undefined) continue;
    // The service of an engine that is no longer listed is unknown, so any doubt concerns it.
    if (service === undefined || service === name) return false;
  }
  return true;
}
