import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {advanceDocument} from './advance_document.js';
import {planSteps} from './plan_steps.js';
import {readDocument} from './read_document.js';
import {sendOrders} from './send_orders.js';
import {requestWeightTokens} from './request_weight_tokens.js';
import {writeDocument} from './write_document.js';

/** Moves the domains of this steward towards the replicas that the service files request. */
export function reconcile(step: Step): void {
  const {replicas} = step.state;
  if (replicas.stewardships.size === 0) return;
  const sinceMs = step.nowMs - replicas.reconciledAtMs;
  if (sinceMs < STEWARD_TIMING.reconcileMs) return;
  replicas.reconciledAtMs = step.nowMs;
  planSteps(step);
  for (const stewardship of replicas.stewardships.values()) {
    if (stewardship.operationId === undefined) advance(step, stewardship);
  }
}

function advance(step: Step, stewardship: Stewardship): void {
  if (stewardship.writing || stewardship.phase !== 'active') {
    if (step.nowMs >= stewardship.retryAtMs) readDocument(step, stewardship);
    return;
  }
  removeSettled(step, stewardship);
  const replicas = advanceDocument(step, stewardship);
  if (replicas) {
    writeDocument(step, stewardship, replicas);
    return;
  }
  requestWeightTokens(step, stewardship);
  sendOrders(step, stewardship);
}

/** Drops orders whose effect a newer report shows. */
function removeSettled({state}: Step, {orders}: Stewardship): void {
  for (const [vmId, {settledAfterMs = Infinity}] of orders) {
    const trueAtMs = state.targets.reports.get(vmId)?.reportedAtMs ?? -Infinity;
    if (trueAtMs > settledAfterMs) orders.delete(vmId);
  }
}
