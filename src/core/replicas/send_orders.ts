import type {EngineAssignment} from '../targets/types.js';
import type {OrderId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import type {Stewardship} from './stewardship.js';
import type {VmRecord} from '../store/types.js';
import {STEWARD_TIMING} from './steward_timing.js';
import {countMetric, nextId} from '../state/index.js';
import {nextOrder} from './next_order.js';
import {recordAudit} from '../audit/index.js';

/** Sends the orders that bring the domain's engines in line with its document. */
export function sendOrders(step: Step, stewardship: Stewardship): void {
  const {replicas, targets} = step.state;
  const {orderTimeoutMs, driftMs} = STEWARD_TIMING;
  // An order must have ended before another node can become steward of the domain.
  const endsAtMs = step.nowMs + orderTimeoutMs + driftMs;
  if (replicas.lease.safeUntilMs < endsAtMs) return;
  for (const record of targets.vms.values()) {
    if (record.domain !== stewardship.domain) continue;
    if (record.kind !== 'engine' || !mayOrder(step, stewardship, record)) {
      continue;
    }
    const order = nextOrder(step, stewardship, record.vmId);
    if (order) send(step, stewardship, record, order);
  }
}

/** One order at a time per engine, the next only after a report newer than the end of the previous one. */
function mayOrder(
  {state, nowMs}: Step,
  {orders, firstOrderAtMs}: Stewardship,
  {vmId, checksFencing}: VmRecord,
): boolean {
  if (!checksFencing && nowMs < firstOrderAtMs) return false;
  const outstanding = orders.get(vmId);
  if (!outstanding) return true;
  const trueAtMs = state.targets.reports.get(vmId)?.reportedAtMs ?? -Infinity;
  return trueAtMs > (outstanding.settledAfterMs ?? Infinity);
}

function send(
  step: Step,
  {fencingToken, orders}: Stewardship,
  {vmId, address}: VmRecord,
  order: EngineAssignment | 'release',
): void {
  const orderId = nextId<OrderId>(step, 'or');
  const timeoutMs = STEWARD_TIMING.orderTimeoutMs;
  orders.set(vmId, {orderId, sentAtMs: step.nowMs});
  step.effects.push({
    type: 'sendOrder',
    orderId,
    vmId,
    address,
    fencingToken,
    timeoutMs,
    notAfterMs: step.nowMs + timeoutMs,
    ...(order !== 'release' && {assignment: order}),
  });
  const kind = order === 'release' ? 'release' : 'assign';
  countMetric(step, 'orders', 1, {kind});
  recordAudit(step, {
    who: 'system',
    action: 'order',
    subject: vmId,
    after: order === 'release' ? 'released' : order.replicaId,
  });
}
