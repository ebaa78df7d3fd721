import type {ReplicaTrack} from './types.js';
import type {ServingState, ServingStep} from '../serving/types.js';
import {sendOrder} from './send_order.js';
import {hasHeadEnded} from './has_head_ended.js';
import {isHeadUnreachable} from './is_head_unreachable.js';
import {probeEngine} from './probe_engine.js';
import {releaseReplica} from './release_replica.js';
import {replicaKey} from '../fleet/index.js';

/** A leaving head refuses connections and finishes its requests within this time. */
const FINISH_REQUESTS_MS = 10_500;
/** Margin over the stall time after which a head with a lost member has stopped serving by itself. */
const STALL_MARGIN_MS = 700;
/** How long to wait for a head that cannot be probed because its address is unknown: longer than VMs are usually partitioned. */
const UNKNOWN_HEAD_MS = 15_000;

/**
 * Orders the head to leave, and frees the members once the head is known to
 * have left, restarted or stopped serving.
 *
 * An unreachable head may still be open; its members must not be used elsewhere
 * until it has stalled long enough to be broken.
 */
export function dissolveReplica(step: ServingStep, track: ReplicaTrack): void {
  const {state, nowMs} = step;
  const vmId = track.members[0]!;
  const head = state.engines.get(vmId);
  const bornAtMs = track.bornAtMs.get(vmId);
  if (head && bornAtMs !== undefined && head.bornAtMs !== bornAtMs) {
    releaseReplica(step, track, 'the head restarted');
    return;
  }
  if (head) {
    const {membership} = head;
    const isMember =
      membership !== undefined &&
      replicaKey(membership.replicaId, membership.epoch) === track.key;
    if (!isMember) {
      releaseReplica(step, track, 'the head reports another replica or none');
      return;
    }
  }
  if (hasHeadEnded(state, track)) {
    releaseReplica(step, track, 'the head process has ended');
    return;
  }
  const mayFinishRequests = track.isHeadLeaving && !track.isClosed;
  if (!head && !mayFinishRequests && isHeadUnreachable(step, track)) {
    releaseReplica(
      step,
      track,
      'the head is not listed and no node reaches it',
    );
    return;
  }
  // An engine that the store lists is alive: it renews its registration regularly.
  const seenAtMs = head ? nowMs : lastSeenAtMs(state, track);
  const timeoutMs =
    track.headAddress === undefined
      ? UNKNOWN_HEAD_MS
      : mayFinishRequests
        ? state.bounds.listingMs + FINISH_REQUESTS_MS
        : state.bounds.stallMs + STALL_MARGIN_MS;
  if (nowMs - seenAtMs > timeoutMs) {
    releaseReplica(step, track, 'the head is unresponsive for too long');
    return;
  }
  if (track.headAddress === undefined) return;
  const {replicaId, epoch} = track;
  const target = {vmId, address: track.headAddress};
  probeEngine(step, target);
  sendOrder(step, target, {kind: 'leave', replicaId, epoch});
}

function lastSeenAtMs(state: ServingState, track: ReplicaTrack): number {
  const vmId = track.members[0]!;
  return Math.max(
    track.headSeenAtMs,
    state.steward.probes.get(vmId)?.answeredAtMs ?? -Infinity,
    state.targetLoads.get(vmId)?.progressAtMs ?? -Infinity,
    state.peerLoads.get(vmId)?.progressAtMs ?? -Infinity,
  );
}
