import type {StewardState} from './types.js';

/** Epochs of one term; far more replicas than a term can plan. */
const EPOCHS_PER_TERM = 2 ** 20;

/** An epoch above all of earlier terms, so that engines refuse orders of an earlier steward that come late. */
export function nextEpoch(steward: StewardState): number {
  steward.epochCount += 1;
  return (steward.term ?? 0) * EPOCHS_PER_TERM + steward.epochCount;
}
