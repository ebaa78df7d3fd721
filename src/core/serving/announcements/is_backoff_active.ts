import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Whether an engine has requested this node to send it no requests for now. */
export function isBackoffActive(
  {announcements}: ServingState,
  vmId: VmId,
  nowMs: number,
): boolean {
  return (announcements.backoffUntilMs.get(vmId) ?? -Infinity) > nowMs;
}
