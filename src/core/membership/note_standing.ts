import type {NodeId} from '../ids/index.js';
import type {Peer} from './peer.js';
import type {Standing} from './standing.js';
import type {Step} from '../state/types.js';

/** Effect of a received status: `stale` is older than the known one, `changed` is to be gossiped. */
type Change = 'stale' | 'none' | 'changed';

/** Applies a node's status. The latest incarnation wins; late messages of an older one are ignored. */
export function noteStanding(
  step: Step,
  nodeId: NodeId,
  standing: Standing,
  heardAtMs: number,
): Change {
  const {membership, self} = step.state;
  if (nodeId === self.nodeId) return checkSuperseded(step, standing);
  const known = membership.peers.get(nodeId);
  if (!known) {
    membership.peers.set(nodeId, createPeer(step, nodeId, standing, heardAtMs));
    return 'changed';
  }
  const isSame = known.incarnation === standing.incarnation;
  if (!isSame && !isLater(standing, known)) return 'stale';
  if (isSame && standing.sequence <= known.sequence) return 'stale';
  const change =
    !isSame ||
    known.phase !== standing.phase ||
    known.suspectedAtMs !== undefined
      ? 'changed'
      : 'none';
  if (known.controlAddress !== standing.controlAddress) {
    membership.arePeersStale = true;
  }
  Object.assign(known, standing);
  known.lastSeenAtMs = Math.max(known.lastSeenAtMs, heardAtMs);
  if (!isSame) known.lastAcknowledgedAtMs = step.nowMs;
  if (change === 'changed') membership.isRingStale = true;
  delete known.suspectedAtMs;
  return change;
}

/** Incarnations with equal start times are ordered by id, so that all nodes choose the same one. */
function isLater(standing: Standing, known: Peer): boolean {
  if (standing.startedAtMs !== known.startedAtMs) {
    return standing.startedAtMs > known.startedAtMs;
  }
  return standing.incarnation > known.incarnation;
}

function createPeer(
  step: Step,
  nodeId: NodeId,
  standing: Standing,
  lastSeenAtMs: number,
): Peer {
  step.state.membership.isRingStale = true;
  step.state.membership.arePeersStale = true;
  return {
    nodeId,
    ...standing,
    lastSeenAtMs,
    lastAcknowledgedAtMs: step.nowMs,
    isNotReceiving: false,
  };
}

function checkSuperseded(step: Step, standing: Standing): Change {
  const {membership, self} = step.state;
  const {startedAtMs, incarnation} = standing;
  if (incarnation === self.incarnation) return 'stale';
  if (startedAtMs > membership.startedAtMs) membership.isSuperseded = true;
  return 'stale';
}
