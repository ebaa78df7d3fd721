import {createHash} from 'node:crypto';
import type {NodeId, TargetId} from '../ids/index.js';
import type {Step} from '../state/types.js';
import {livePeers} from '../membership/index.js';

/** Selects the node that grants trials on a target: the highest rendezvous hash among live nodes. */
export function selectArbiter(step: Step, targetId: TargetId): NodeId {
  let arbiter = step.state.self.nodeId;
  let best = rank(arbiter, targetId);
  for (const {nodeId} of livePeers(step.state, step.nowMs)) {
    const other = rank(nodeId, targetId);
    if (other <= best) continue;
    arbiter = nodeId;
    best = other;
  }
  return arbiter;
}

function rank(nodeId: NodeId, targetId: TargetId): string {
  return createHash('sha256').update(`${nodeId}\0${targetId}`).digest('hex');
}
