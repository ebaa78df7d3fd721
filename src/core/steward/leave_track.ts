import type {ReplicaTrack} from './types.js';
import type {ServingState, ServingStep} from '../serving/types.js';
import {giveOrder} from './give_order.js';
import {isTakenAsGone} from './is_taken_as_gone.js';
import {probeEngine} from './probe_engine.js';
import {releaseTrack} from './release_track.js';
import {replicaKey} from '../fleet/index.js';

/** A head that leaves refuses connections, and ends its work within this time. */
const END_WORK_MS = 10_500;
/** Added to the time in which a head without its members gives up by itself. */
const STALL_MARGIN_MS = 700;
/** How long a head is waited for that can't be asked, since its address is not known: longer than VMs are usually cut off. */
const UNKNOWN_HEAD_MS = 15_000;

/**
 * Has the head leave, and frees the members once it is known to have left, to
 * live anew, or to have given up.
 *
 * A head that can't be reached may still be open; its members must not be used
 * elsewhere until it has stood still long enough to be broken.
 */
export function leaveTrack(step: ServingStep, track: ReplicaTrack): void {
  const {state, nowMs} = step;
  const vmId = track.members[0]!;
  const head = state.engines.get(vmId);
  const bornAtMs = track.bornAtMs.get(vmId);
  if (head && bornAtMs !== undefined && head.bornAtMs !== bornAtMs) {
    releaseTrack(step, track, 'the head lives anew');
    return;
  }
  if (head) {
    const {membership} = head;
    const isIn =
      membership !== undefined &&
      replicaKey(membership.replicaId, membership.epoch) === track.key;
    if (!isIn) {
      releaseTrack(step, track, 'the head names another replica or none');
      return;
    }
  }
  const mayEndWork = track.isHeadLeaving && !track.isClosed;
  if (!head && !mayEndWork && isTakenAsGone(step, track)) {
    releaseTrack(step, track, 'neither the store nor any node hears the head');
    return;
  }
  // An engine that the store lists is alive: it registers again and again.
  const seenAtMs = head ? nowMs : lastSeenAtMs(state, track);
  const goneAfterMs =
    track.headAddress === undefined
      ? UNKNOWN_HEAD_MS
      : mayEndWork
        ? state.bounds.listingMs + END_WORK_MS
        : state.bounds.stallMs + STALL_MARGIN_MS;
  if (nowMs - seenAtMs > goneAfterMs) {
    releaseTrack(step, track, 'the head has been silent for too long');
    return;
  }
  if (track.headAddress === undefined) return;
  const {replicaId, epoch} = track;
  const target = {vmId, address: track.headAddress};
  probeEngine(step, target);
  giveOrder(step, target, {kind: 'leave', replicaId, epoch});
}

function lastSeenAtMs(state: ServingState, track: ReplicaTrack): number {
  const vmId = track.members[0]!;
  return Math.max(
    track.headSeenAtMs,
    state.steward.probes.get(vmId)?.answeredAtMs ?? -Infinity,
    state.loads.get(vmId)?.progressAtMs ?? -Infinity,
    state.peerLoads.get(vmId)?.progressAtMs ?? -Infinity,
  );
}
