import type {ServingEvent} from '../serving/events.js';
import type {ServingStep} from '../serving/types.js';
import {logDecision} from '../serving/log_decision.js';
import {markLost} from './mark_lost.js';
import {releaseTrack} from './release_track.js';
import {replicaKey} from '../fleet/index.js';

type OrderAnswered = Extract<ServingEvent, {type: 'orderAnswered'}>;

/** Follows the answer to an order. */
export function noteOrder(step: ServingStep, event: OrderAnswered): void {
  const {steward} = step.state;
  const {vmId, order, outcome} = event;
  logDecision(step, 'info', 'steward', 'order answered', {
    vmId,
    outcome,
    ...order,
  });
  if (outcome !== 'unknown' && outcome !== 'refused') {
    steward.engineAnsweredAtMs = step.nowMs;
  }
  const track =
    order.kind === 'stage'
      ? undefined
      : steward.tracks.get(replicaKey(order.replicaId, order.epoch));
  if (outcome === 'refused') {
    markLost(step, vmId, 'connection refused');
    if (track?.phase === 'leaving' && track.members[0] === vmId) {
      releaseTrack(step, track, 'the head has ended');
    }
    return;
  }
  if (!track) return;
  const hasLeft = outcome === 'done' || outcome === 'begun';
  if (order.kind === 'leave' && hasLeft && track.phase === 'leaving') {
    releaseTrack(step, track, 'the head has left');
    return;
  }
  const isOutdated = outcome === 'outdated';
  if (order.kind === 'join' && isOutdated && track.phase === 'joining') {
    releaseTrack(step, track, `never opened; outdated at ${vmId}`);
  }
}
