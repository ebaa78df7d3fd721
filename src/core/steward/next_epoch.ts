import type {StewardState} from './types.js';
import {EPOCHS_PER_TERM} from './epochs_per_term.js';

/** Issues an epoch above all epochs of earlier terms, so that engines refuse late orders of an earlier steward. */
export function nextEpoch(steward: StewardState): number {
  steward.epochCount += 1;
  return (steward.term ?? 0) * EPOCHS_PER_TERM + steward.epochCount;
}
