import type {AttemptRecord, ServingState} from '../types.js';
import {TOGETHER_MS} from './together_ms.js';

/** Whether another stream of the target was cut off at the time of a close, which a process that ends by itself does not do. */
export function hasBrokenBeside(
  {targetLoads}: ServingState,
  {vmId, closed}: AttemptRecord,
): boolean {
  const brokenAtMs = targetLoads.get(vmId)?.brokenAtMs ?? -Infinity;
  return Math.abs(brokenAtMs - closed!.atMs) <= TOGETHER_MS;
}
