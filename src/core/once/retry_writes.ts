import type {Step} from '../state/types.js';
import {writeOutcome} from './write_outcome.js';

/** Tries again the writes whose time has come. */
export function retryWrites(step: Step): void {
  for (const claim of step.state.once.retries) {
    if (step.nowMs >= claim.retryAtMs!) writeOutcome(step, claim);
  }
}
