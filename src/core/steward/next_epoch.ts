import type {StewardState} from './types.js';
import {EPOCHS_PER_TERM} from './epochs_per_term.js';

/** An epoch above all of earlier terms, so that engines refuse orders of an earlier steward that come late. */
export function nextEpoch(steward: StewardState): number {
  steward.epochCount += 1;
  return (steward.term ?? 0) * EPOCHS_PER_TERM + steward.epochCount;
}
