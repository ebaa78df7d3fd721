import type {EventOf} from '../events/types.js';
import type {Step} from '../state/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {countMetric, logEvent} from '../state/index.js';
import {readDocument} from './read_document.js';

/** Delay before an engine that refused an order receives another. */
const REFUSED_RETRY_MS = 5000;

/** Records the outcome of an order; a report newer than that is required before the next order. */
export function noteOrderResult(
  step: Step,
  {orderId, outcome}: EventOf<'orderResult'>,
): void {
  for (const stewardship of step.state.replicas.stewardships.values()) {
    for (const [vmId, order] of stewardship.orders) {
      if (order.orderId !== orderId) continue;
      const settledAfterMs = step.nowMs + resolveSettleMs(outcome);
      stewardship.orders.set(vmId, {...order, settledAfterMs});
      countMetric(step, 'orderResults', 1, {outcome});
      if (outcome !== 'fenced') return;
      logEvent(step, 'warn', 'replicas', 'order fenced', {vmId});
      if (stewardship.operationId !== undefined) return;
      // The engine has a higher token: another steward took over, or the store was restored to an older state.
      stewardship.phase = 'reading';
      readDocument(step, stewardship);
      return;
    }
  }
}

function resolveSettleMs(outcome: EventOf<'orderResult'>['outcome']): number {
  if (outcome === 'unknown') return STEWARD_TIMING.orderSettleMs;
  return outcome === 'refused' ? REFUSED_RETRY_MS : 0;
}
