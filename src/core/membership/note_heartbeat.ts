import type {NodeId} from '../ids/index.js';
import type {PeerMessageOf} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isFullMesh} from './is_full_mesh.js';
import {noteStanding} from './note_standing.js';

/** Heartbeats that may be in flight when a peer reports the last one it received. */
const MAX_IN_FLIGHT = 1;

/** Applies a heartbeat of a peer, and checks from it whether the peer receives this node's heartbeats. */
export function noteHeartbeat(
  step: Step,
  from: NodeId,
  message: PeerMessageOf<'membership.heartbeat'>,
): void {
  const {membership} = step.state;
  const change = noteStanding(step, from, message.standing, step.nowMs);
  if (change === 'stale') return;
  if (change === 'changed') membership.gossip.add(from);
  const peer = membership.peers.get(from)!;
  const unacknowledged = membership.sequence - message.heardSequence;
  // Outside a full mesh, a peer sends heartbeats to other nodes than those it receives them from.
  if (!isFullMesh(step.state) || unacknowledged <= MAX_IN_FLIGHT) {
    peer.lastAcknowledgedAtMs = step.nowMs;
  }
  const unacknowledgedMs = step.nowMs - peer.lastAcknowledgedAtMs;
  peer.isNotReceiving =
    unacknowledgedMs > 0 &&
    (message.heardSequence > 0 ||
      unacknowledgedMs > MEMBERSHIP_TIMING.suspectAfterMs);
}
