import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';
import {COLD_WINDOW_MS} from './cold_window_ms.js';

/** Returns when this node may send to a cold engine of its own again; a time in the past: now. */
export function quotaFreesAtMs(
  {coldness}: ServingState,
  vmId: VmId,
  quota: number,
): number {
  if (quota < 1) return Infinity;
  const times = coldness.sendTimesMs.get(vmId) ?? [];
  const oldestMs = times.at(-quota);
  return oldestMs === undefined ? -Infinity : oldestMs + COLD_WINDOW_MS;
}
