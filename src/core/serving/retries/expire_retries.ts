import type {ServingState} from '../types.js';

/** Drops reports that are too old to matter in any window. */
export function expireRetries(
  {retries, bounds}: ServingState,
  nowMs: number,
): void {
  const {reported, predecessors} = retries;
  for (const [nodeId, {atMs}] of reported) {
    if (nowMs - atMs > bounds.repeatWindowMs) reported.delete(nodeId);
  }
  for (const [nodeId, {heardAtMs}] of predecessors) {
    if (nowMs - heardAtMs > bounds.repeatWindowMs) predecessors.delete(nodeId);
  }
}
