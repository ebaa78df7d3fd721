import type {ServingStep} from '../serving/types.js';
import {logDecision} from '../serving/log_decision.js';

/** Has this node give no more orders as steward. */
export function endStewardship(step: ServingStep): void {
  const {steward} = step.state;
  if (steward.term === undefined) return;
  logDecision(step, 'info', 'steward', 'stewardship ends', {
    term: steward.term,
  });
  steward.term = undefined;
  steward.leaseTerm = undefined;
  steward.leaseUntilMs = -Infinity;
  steward.tracks.clear();
}
