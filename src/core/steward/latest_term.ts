import type {ServingState} from '../serving/types.js';
import {EPOCHS_PER_TERM} from './epochs_per_term.js';

/** Above the epochs of all stewards; a steward that went beyond it would run out of exact numbers. */
const MAX_EPOCH = 2 ** 52;

/** Returns the highest steward term among the epochs in engine records; -1 if no engine belongs to a replica. */
export function latestTerm({engines}: ServingState): number {
  let latest = -1;
  for (const {membership} of engines.values()) {
    const epoch = membership?.epoch ?? -1;
    if (epoch >= MAX_EPOCH) continue;
    const term = Math.floor(epoch / EPOCHS_PER_TERM);
    latest = Math.max(latest, term);
  }
  return latest;
}
