import type {Step} from '../state/types.js';
import {writeOutcome} from './write_outcome.js';

/** Retries the failed writes that are due. */
export function retryWrites(step: Step): void {
  for (const claim of step.state.once.retries) {
    if (step.nowMs >= claim.retryAtMs!) writeOutcome(step, claim);
  }
}
