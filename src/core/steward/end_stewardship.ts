import type {ServingStep} from '../serving/types.js';
import {logDecision} from '../serving/log_decision.js';

/** Ends this node's term as steward: no more orders are sent. Does nothing on a node that is not the steward. */
export function endStewardship(step: ServingStep): void {
  const {steward} = step.state;
  if (steward.term === undefined) return;
  logDecision(step, 'info', 'steward', 'steward term ended', {
    term: steward.term,
  });
  steward.term = undefined;
  steward.leaseTerm = undefined;
  steward.leaseUntilMs = -Infinity;
  steward.tracks.clear();
}
