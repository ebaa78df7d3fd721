import type {ServingState} from '../types.js';

/** Whether the proof that this node's reading is the newest is older than `maxAgeMs`, as with peers of a build without evacuations. */
export function isEvacuationStale(
  {evacuation}: ServingState,
  nowMs: number,
  maxAgeMs: number,
): boolean {
  return evacuation.isEnabled && nowMs - evacuation.provenAtMs > maxAgeMs;
}
