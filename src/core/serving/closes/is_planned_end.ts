import type {AttemptRecord, ServingState} from '../types.js';
import {findLeavingSinceMs} from './find_leaving_since_ms.js';

/** Share of the time that a leaving engine goes on to serve after which its end is expected: the rest allows for the time in which nodes learn that it leaves. */
const DRAIN_SHARE = 0.5;

/** Whether a target that ends at `atMs` ends by itself, after its last response: it has been leaving for long enough. */
export function isPlannedEnd(
  state: ServingState,
  {vmId, bornAtMs}: AttemptRecord,
  atMs: number,
): boolean {
  const sinceMs = findLeavingSinceMs(state, vmId, bornAtMs);
  if (sinceMs === undefined) return false;
  return atMs - sinceMs >= DRAIN_SHARE * (state.bounds.drainMs ?? 0);
}
