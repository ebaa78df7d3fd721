import type {AttemptRecord, ServingState} from '../types.js';
import {TOGETHER_MS} from './together_ms.js';

/** Whether other bodies of the target closed at the same time, as they do when its process is killed. */
export function hasClosedBeside(
  {targetLoads}: ServingState,
  {vmId, closed}: AttemptRecord,
): boolean {
  const closes = targetLoads.get(vmId)?.recentCloses ?? [];
  const beside = closes.filter(
    atMs => Math.abs(atMs - closed!.atMs) <= TOGETHER_MS,
  );
  return beside.length > 1;
}
