import type {NodeState} from '../state/types.js';
import type {Peer} from '../membership/types.js';
import type {StatusAnswer} from './status_answer.js';
import {livePeers} from '../membership/index.js';

type NodeStatus = StatusAnswer['nodes'][number];

/** Describes this node and its peers. */
export function describeStatus(state: NodeState, nowMs: number): StatusAnswer {
  const live = new Set(livePeers(state, nowMs).map(peer => peer.nodeId));
  const peers = [...state.membership.peers.values()]
    .filter(peer => peer.nodeId !== state.self.nodeId)
    .map(peer => describePeer(peer, nowMs, live.has(peer.nodeId)));
  const nodes = [describeSelf(state), ...peers];
  nodes.sort((a, b) => (a.nodeId < b.nodeId ? -1 : 1));
  const {revision} = state.config.document;
  return {answeredBy: state.self.nodeId, revision, nodes};
}

function describePeer(peer: Peer, nowMs: number, live: boolean): NodeStatus {
  return {
    nodeId: peer.nodeId,
    incarnation: peer.incarnation,
    zone: peer.zone,
    callerAddress: peer.callerAddress,
    controlAddress: peer.controlAddress,
    phase: peer.phase,
    configRevision: peer.configRevision,
    queued: peer.queued,
    running: peer.running,
    silentMs: Math.max(0, Math.round(nowMs - peer.lastSeenAtMs)),
    live,
  };
}

function describeSelf(state: NodeState): NodeStatus {
  const {self, config, drain} = state;
  const {revision} = config.document;
  const phase = revision === 0 ? 'starting' : 'serving';
  return {
    nodeId: self.nodeId,
    incarnation: self.incarnation,
    zone: self.zone,
    callerAddress: self.callerAddress,
    controlAddress: self.controlAddress,
    phase: drain.draining ? 'draining' : phase,
    configRevision: revision,
    ...countRequests(state),
    silentMs: 0,
    live: true,
  };
}

function countRequests(state: NodeState) {
  let running = 0;
  for (const record of state.requests.byId.values()) {
    if (record.phase === 'running') running += 1;
  }
  return {running, queued: state.requests.byId.size - running};
}
