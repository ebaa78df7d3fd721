import type {EngineOrder} from './types.js';
import type {ServingStep} from '../serving/types.js';
import type {VmId} from '../ids/index.js';
import {logDecision} from '../serving/log_decision.js';
import {replicaKey} from '../fleet/index.js';

/** Interval at which an order without visible effect is sent again. */
const RESEND_MS = 500;

/** Sends an order, unless the same order went to this engine within the resend interval. */
export function sendOrder(
  step: ServingStep,
  target: {readonly vmId: VmId; readonly address: string},
  order: EngineOrder,
): void {
  const {steward} = step.state;
  const subject =
    order.kind === 'stage'
      ? order.model
      : replicaKey(order.replicaId, order.epoch);
  const id = `${target.vmId}/${order.kind}/${subject}`;
  const sentAtMs = steward.sentAtMs.get(id) ?? -Infinity;
  if (step.nowMs - sentAtMs < RESEND_MS) return;
  steward.sentAtMs.set(id, step.nowMs);
  const {vmId, address} = target;
  logDecision(step, 'info', 'steward', 'order sent', {
    vmId,
    kind: order.kind,
    subject,
    isResend: Number.isFinite(sentAtMs),
    term: steward.term,
    leaseLeftMs: Math.round(steward.leaseUntilMs - step.nowMs),
  });
  step.effects.push({type: 'sendOrder', vmId, address, order});
}
