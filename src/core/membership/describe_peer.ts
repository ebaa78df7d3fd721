import type {Peer} from './peer.js';
import type {PeerMessageOf} from '../peers/types.js';
import {isSuspected} from './is_suspected.js';

type NodeGossip = PeerMessageOf<'membership.gossip'>['nodes'][number];

/** Creates the gossip entry that reports a peer to other nodes. */
export function describePeer(peer: Peer, nowMs: number): NodeGossip {
  const {nodeId, incarnation, startedAtMs, sequence, zone, phase} = peer;
  const {callerAddress, controlAddress, configRevision, queued, running} = peer;
  return {
    nodeId,
    standing: {
      incarnation,
      startedAtMs,
      sequence,
      zone,
      callerAddress,
      controlAddress,
      phase,
      configRevision,
      queued,
      running,
    },
    silentMs: Math.max(0, nowMs - peer.lastSeenAtMs),
    suspected: isSuspected(peer, nowMs),
  };
}
