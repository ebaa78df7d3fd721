import type {StewardState} from './types.js';
import {EPOCHS_PER_TERM} from './epochs_per_term.js';

/** Whether this steward issued the epoch in its current term. */
export function isOfCurrentTerm({term}: StewardState, epoch: number): boolean {
  return Math.floor(epoch / EPOCHS_PER_TERM) === term;
}
