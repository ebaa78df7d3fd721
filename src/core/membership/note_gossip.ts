import type {PeerMessageOf} from '../peers/types.js';
import type {Peer} from './peer.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isFullMesh} from './is_full_mesh.js';
import {noteStanding} from './note_standing.js';

type Gossip = PeerMessageOf<'membership.gossip'>;
type NodeGossip = Gossip['nodes'][number];

/** Takes in what a peer says of others, and marks what is new to be passed on. */
export function noteGossip(step: Step, message: Gossip): void {
  for (const gossip of message.nodes) {
    if (noteOne(step, gossip)) step.state.membership.gossip.add(gossip.nodeId);
  }
}

function noteOne(step: Step, gossip: NodeGossip): boolean {
  const {nodeId, standing, silentMs, suspected} = gossip;
  if (nodeId === step.state.self.nodeId) return noteOwn(step, gossip);
  const heardAtMs = step.nowMs - silentMs;
  const change = noteStanding(step, nodeId, standing, heardAtMs);
  const peer = step.state.membership.peers.get(nodeId);
  if (!suspected || !peer || isFullMesh(step.state))
    return change === 'changed';
  if (peer.incarnation !== standing.incarnation) return false;
  if (isHeard(step, peer)) return true; // passing it on contradicts the suspicion
  if (peer.sequence > standing.sequence) return false;
  return suspect(step, peer);
}

/** A node that is said to be silent answers with its present standing. */
function noteOwn(step: Step, gossip: NodeGossip): boolean {
  noteStanding(step, gossip.nodeId, gossip.standing, step.nowMs);
  return gossip.suspected;
}

function isHeard(step: Step, peer: Peer): boolean {
  if (peer.monitoredSinceMs === undefined) return false;
  const silentMs = step.nowMs - peer.heardAtMs;
  return silentMs < MEMBERSHIP_TIMING.suspectAfterMs;
}

function suspect(step: Step, peer: Peer): boolean {
  if (peer.suspectedAtMs !== undefined) return false;
  peer.suspectedAtMs = step.nowMs;
  step.state.membership.isRingStale = true;
  return true;
}
