import type {ServingState} from '../types.js';

/** Whether any path of this node is in doubt or down. */
export function isPathInDoubt({reachability}: ServingState): boolean {
  for (const {doubtedSinceMs} of reachability.paths.values()) {
    if (doubtedSinceMs !== undefined) return true;
  }
  return false;
}
