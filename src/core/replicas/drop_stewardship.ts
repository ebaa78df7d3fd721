import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {logEvent} from '../state/index.js';

/** Stops acting for a domain. Results still under way find no stewardship and change nothing. */
export function dropStewardship(
  step: Step,
  {domain, fencingToken}: Stewardship,
  reason: string,
): void {
  const {replicas} = step.state;
  replicas.stewardships.delete(domain);
  // Counts the wait of a candidate anew, after a pause.
  replicas.vacantSinceMs.set(domain, step.nowMs + STEWARD_TIMING.retryMs);
  logEvent(step, 'info', 'replicas', 'stewardship dropped', {
    domain,
    fencingToken,
    reason,
  });
}
