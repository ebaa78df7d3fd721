import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {logEvent} from '../state/index.js';

/** Stops acting for a domain. Results of calls still in flight match no stewardship and are ignored. */
export function dropStewardship(
  step: Step,
  {domain, fencingToken}: Stewardship,
  reason: string,
): void {
  const {replicas} = step.state;
  replicas.stewardships.delete(domain);
  // Restarts this node's wait as a candidate after a delay.
  replicas.vacantSinceMs.set(domain, step.nowMs + STEWARD_TIMING.retryMs);
  logEvent(step, 'info', 'replicas', 'stewardship dropped', {
    domain,
    fencingToken,
    reason,
  });
}
