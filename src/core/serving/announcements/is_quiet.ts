import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Whether an engine wants no requests of this node for now. */
export function isQuiet(
  {announcements}: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  return (announcements.quiet.get(vmId) ?? -Infinity) > nowMs;
}
