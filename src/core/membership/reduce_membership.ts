import type {EventOf, NodeEvent} from '../events/types.js';
import type {Step} from '../state/types.js';
import {checkSilence} from './check_silence.js';
import {describePeer} from './describe_peer.js';
import {createStanding} from './create_standing.js';
import {removeSilentPeers} from './remove_silent_peers.js';
import {isRelay} from './is_relay.js';
import {joinPeers} from './join_peers.js';
import {keepLease} from './keep_lease.js';
import {noteHeartbeat} from './note_heartbeat.js';
import {noteLeaseResult} from './note_lease_result.js';
import {noteGossip} from './note_gossip.js';
import {noteNodesRead} from './note_nodes_read.js';
import {notePause} from './note_pause.js';
import {noteStoreOutcome} from './note_store_outcome.js';
import {readNodes} from './read_nodes.js';
import {releaseLease} from './release_lease.js';
import {sendHeartbeats} from './send_heartbeats.js';
import {spreadGossip} from './spread_gossip.js';
import {syncPeerAddresses} from './sync_peer_addresses.js';

const SLOW_CHECK_MS = 1000;

/** Membership's part of the reducer: the lease, heartbeats, gossip, and pauses of this process. */
export function reduceMembership(step: Step, event: NodeEvent): void {
  notePause(step);
  switch (event.type) {
    case 'started':
      start(step);
      break;
    case 'tick':
      tick(step);
      break;
    case 'drainRequested':
      leave(step);
      break;
    case 'storeResult':
      noteStoreOutcome(step, event);
      noteStoreResult(step, event);
      break;
    case 'peerExchanged':
      noteExchange(step, event);
      break;
    case 'peerAsked':
      answerJoin(step, event);
      break;
    case 'peerAnswered':
      noteJoinAnswer(step, event);
      break;
    default:
      return;
  }
  spreadGossip(step);
}

function start(step: Step): void {
  const {membership, config} = step.state;
  membership.startedAtMs = step.nowMs;
  config.isCatchingUp = true;
  syncPeerAddresses(step);
}

/** Gossips at once that this node leaves. */
function leave(step: Step): void {
  const {membership, self} = step.state;
  membership.isLeaving = true;
  membership.gossip.add(self.nodeId);
  releaseLease(step);
}

function tick(step: Step): void {
  const {membership} = step.state;
  releaseLease(step);
  keepLease(step);
  readNodes(step);
  joinPeers(step);
  checkSilence(step);
  if (step.nowMs - membership.lastTickAtMs >= SLOW_CHECK_MS) {
    membership.lastTickAtMs = step.nowMs;
    membership.isRelay = isRelay(step.state, step.nowMs);
    removeSilentPeers(step);
  }
  syncPeerAddresses(step);
  sendHeartbeats(step);
}

function noteStoreResult(step: Step, event: EventOf<'storeResult'>): void {
  const {membership} = step.state;
  const call = membership.calls.get(event.operationId);
  if (event.area !== 'membership' || !call) return;
  membership.calls.delete(event.operationId);
  switch (call.purpose) {
    case 'grant':
    case 'register':
    case 'keepAlive':
    case 'evict':
      return noteLeaseResult(step, call, event.outcome);
    case 'list':
    case 'watch':
      return noteNodesRead(step, call, event.outcome);
    default:
  }
}

function noteExchange(step: Step, event: EventOf<'peerExchanged'>): void {
  for (const message of event.messages) {
    if (message.type === 'membership.heartbeat') {
      noteHeartbeat(step, event.from, message);
    } else if (message.type === 'membership.gossip') {
      noteGossip(step, message);
    }
  }
}

function answerJoin(step: Step, event: EventOf<'peerAsked'>): void {
  if (event.message.type !== 'membership.join') return;
  const {state, nowMs} = step;
  const standing = createStanding(state, nowMs);
  const {nodeId} = state.self;
  const own = {nodeId, standing, silentMs: 0, suspected: false};
  const others = [...state.membership.peers.values()].map(peer =>
    describePeer(peer, nowMs),
  );
  step.effects.push({
    type: 'peerAnswer',
    callId: event.callId,
    message: {type: 'membership.gossip', nodes: [own, ...others]},
  });
}

function noteJoinAnswer(step: Step, event: EventOf<'peerAnswered'>): void {
  const {membership} = step.state;
  const call = membership.calls.get(event.callId);
  if (event.area !== 'membership' || !call) return;
  membership.calls.delete(event.callId);
  if (event.message?.type !== 'membership.gossip') return;
  noteGossip(step, event.message);
  membership.hasView = true;
}
