import type {ServingState} from '../types.js';

/** Returns the highest configuration version of this node and its peers; 0 if there is none. */
export function latestConfigVersion({config, peers}: ServingState): number {
  let latest = config?.version ?? 0;
  for (const {digest} of peers.values()) {
    latest = Math.max(latest, digest.configVersion);
  }
  return latest;
}
