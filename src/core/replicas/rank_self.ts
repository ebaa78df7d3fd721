import {createHash} from 'node:crypto';
import type {DomainId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {livePeers} from '../membership/index.js';

/** Rank of this node among the candidates for a domain, by rendezvous hash; 0 is first. */
export function rankSelf({state, nowMs}: Step, domain: DomainId): number {
  const own = score(state.self.nodeId, domain);
  return livePeers(state, nowMs).filter(
    peer => peer.phase === 'serving' && score(peer.nodeId, domain) > own,
  ).length;
}

function score(nodeId: string, domain: string): number {
  const hash = createHash('sha256').update(`${nodeId}\0${domain}`).digest();
  return hash.readUInt32BE(0);
}
