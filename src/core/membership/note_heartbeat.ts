import type {NodeId} from '../ids/index.js';
import type {PeerMessageOf} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isFullMesh} from './is_full_mesh.js';
import {noteStanding} from './note_standing.js';

/** Heartbeats that may be under way when a peer says which one it heard last. */
const MAX_UNHEARD = 1;

/** Takes in a peer's sign of life. */
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
  const unheard = membership.sequence - message.heardSequence;
  // Beyond a full mesh, a peer's receivers are not the peers that it hears.
  if (!isFullMesh(step.state) || unheard <= MAX_UNHEARD) {
    peer.heardUsAtMs = step.nowMs;
  }
  const unheardMs = step.nowMs - peer.heardUsAtMs;
  peer.isDeaf =
    unheardMs > 0 &&
    (message.heardSequence > 0 || unheardMs > MEMBERSHIP_TIMING.suspectAfterMs);
}
