import type {PeerMessageOf} from '../peers/types.js';
import type {Peer} from './peer.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isFullMesh} from './is_full_mesh.js';
import {noteStanding} from './note_standing.js';

type Gossip = PeerMessageOf<'membership.gossip'>;
type NodeGossip = Gossip['nodes'][number];

/** Applies a peer's gossip about other nodes, and marks what is new for gossip by this node. */
export function noteGossip(step: Step, message: Gossip): void {
  for (const gossip of message.nodes) {
    if (applyEntry(step, gossip))
      step.state.membership.gossip.add(gossip.nodeId);
  }
}

function applyEntry(step: Step, gossip: NodeGossip): boolean {
  const {nodeId, standing, silentMs, suspected} = gossip;
  if (nodeId === step.state.self.nodeId) return applyOwnEntry(step, gossip);
  const heardAtMs = step.nowMs - silentMs;
  const change = noteStanding(step, nodeId, standing, heardAtMs);
  const peer = step.state.membership.peers.get(nodeId);
  if (!suspected || !peer || isFullMesh(step.state))
    return change === 'changed';
  if (peer.incarnation !== standing.incarnation) return false;
  if (isSendingHeartbeats(step, peer)) return true; // gossiping the peer refutes the suspicion
  if (peer.sequence > standing.sequence) return false;
  return suspect(step, peer);
}

/** A node that is suspected refutes it by gossiping its current status. */
function applyOwnEntry(step: Step, gossip: NodeGossip): boolean {
  noteStanding(step, gossip.nodeId, gossip.standing, step.nowMs);
  return gossip.suspected;
}

function isSendingHeartbeats(step: Step, peer: Peer): boolean {
  if (peer.monitoredSinceMs === undefined) return false;
  const silentMs = step.nowMs - peer.lastSeenAtMs;
  return silentMs < MEMBERSHIP_TIMING.suspectAfterMs;
}

function suspect(step: Step, peer: Peer): boolean {
  if (peer.suspectedAtMs !== undefined) return false;
  peer.suspectedAtMs = step.nowMs;
  step.state.membership.isRingStale = true;
  return true;
}
