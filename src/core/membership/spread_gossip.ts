import type {NodeId} from '../ids/index.js';
import type {PeerMessageOf} from '../peers/types.js';
import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {createStanding} from './create_standing.js';
import {describePeer} from './describe_peer.js';
import {isFullMesh} from './is_full_mesh.js';
import {livePeers} from './live_peers.js';
import {ringNeighbours} from './ring_neighbours.js';

type NodeGossip = PeerMessageOf<'membership.gossip'>['nodes'][number];

/** Gossips, at the end of an event, what was new to this node in it. */
export function spreadGossip(step: Step): void {
  const {membership, self} = step.state;
  if (membership.gossip.size === 0) return;
  const ids = [...membership.gossip];
  membership.gossip.clear();
  if (ids.includes(self.nodeId)) membership.sequence += 1;
  const nodes = ids
    .map(nodeId => describe(step, nodeId))
    .filter(gossip => gossip !== undefined);
  if (nodes.length === 0) return;
  for (const to of chooseReceivers(step)) {
    step.effects.push({
      type: 'peerSend',
      to,
      message: {type: 'membership.gossip', nodes},
      urgent: true,
    });
  }
}

function describe(step: Step, nodeId: NodeId): NodeGossip | undefined {
  const {state, nowMs} = step;
  if (nodeId === state.self.nodeId) {
    const standing = createStanding(state, nowMs);
    return {nodeId, standing, silentMs: 0, suspected: false};
  }
  const peer = state.membership.peers.get(nodeId);
  return peer && describePeer(peer, nowMs);
}

/** Ring neighbours ensure that gossip reaches every node; the random ones make it spread faster. */
function chooseReceivers(step: Step): readonly NodeId[] {
  const {state, nowMs} = step;
  const live = livePeers(state, nowMs).map(peer => peer.nodeId);
  if (isFullMesh(state) || live.length === 0) return live;
  const chosen = new Set(ringNeighbours(state, nowMs).after);
  for (let n = 0; n < MEMBERSHIP_TIMING.gossipFanOut; n++) {
    chosen.add(live[state.random.nextInt(live.length)]!);
  }
  return [...chosen];
}
