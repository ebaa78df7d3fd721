import type {ServingState} from '../types.js';

/** The latest configuration that this node has, or hears that another has. */
export function latestConfigVersion({config, peers}: ServingState): number {
  let latest = config?.version ?? 0;
  for (const {digest} of peers.values()) {
    latest = Math.max(latest, digest.configVersion);
  }
  return latest;
}
