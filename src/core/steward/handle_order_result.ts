import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import {abandonJoining} from './abandon_joining.js';
import {logDecision} from '../serving/log_decision.js';
import {reportLoss} from '../serving/reachability/index.js';
import {releaseReplica} from './release_replica.js';
import {replicaKey} from '../fleet/index.js';

/** Pause in which another steward's orders take effect and become visible in the store and on this node. */
const OUTDATED_PAUSE_MS = 500;

type OrderAnswered = Extract<ServingEvent, {type: 'orderAnswered'}>;

/** Applies the result of an order to the replica that it concerned. */
export function handleOrderResult(
  step: ServingStep,
  event: OrderAnswered,
): void {
  const {steward} = step.state;
  const {vmId, order, outcome} = event;
  logDecision(step, 'info', 'steward', 'order answered', {
    vmId,
    outcome,
    ...order,
  });
  const track =
    order.kind === 'stage'
      ? undefined
      : steward.tracks.get(replicaKey(order.replicaId, order.epoch));
  if (outcome === 'refused') {
    const engine = step.state.engines.get(vmId);
    reportLoss(step, vmId, engine?.service ?? track?.service, {
      bornAtMs: engine?.bornAtMs ?? track?.bornAtMs.get(vmId),
      proof: 'connection refused',
      isRefused: true,
    });
    return;
  }
  if (!track) return;
  const hasLeft = outcome === 'done' || outcome === 'begun';
  if (order.kind === 'leave' && hasLeft && track.phase === 'leaving') {
    releaseReplica(step, track, 'the head has left');
    return;
  }
  if (order.kind !== 'join' || outcome !== 'outdated') return;
  // The engine follows an order of another steward, whose replica is visible soon.
  steward.planningPausedUntilMs = step.nowMs + OUTDATED_PAUSE_MS;
  if (track.phase === 'joining') {
    abandonJoining(step, track, `order outdated at ${vmId}`);
  }
}
