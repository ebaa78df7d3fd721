import type {NodeId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {livePeers} from '../membership/index.js';

/** Lists the nodes that may be brokers: this node and its live peers that are not draining. */
export function brokerCandidates(step: Step): NodeId[] {
  const {self} = step.state;
  const peers = livePeers(step.state, step.nowMs);
  const staying = peers.filter(peer => peer.phase !== 'draining');
  return [self.nodeId, ...staying.map(peer => peer.nodeId)];
}
