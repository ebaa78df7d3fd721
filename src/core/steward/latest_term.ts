import type {ServingState} from '../serving/types.js';
import {EPOCHS_PER_TERM} from './epochs_per_term.js';

/** Returns the highest steward term among the epochs in engine records; -1 if no engine belongs to a replica. */
export function latestTerm({engines}: ServingState): number {
  let latest = -1;
  for (const {membership} of engines.values()) {
    const term = Math.floor((membership?.epoch ?? -1) / EPOCHS_PER_TERM);
    latest = Math.max(latest, term);
  }
  return latest;
}
