import type {Step} from '../state/types.js';
import {livePeers} from '../membership/index.js';

const RECOUNT_MS = 1000;
/** Callers do not spread evenly over nodes, so a node may use this multiple of an even share. */
const UNEVEN_FACTOR = 1.5;

/** This node's share of a limit on all nodes together; the full limit when it is the only one. */
export function nodeShare(step: Step, limit: number): number {
  const {limits} = step.state;
  if (step.nowMs - limits.nodesCountedAtMs >= RECOUNT_MS) {
    const peers = livePeers(step.state, step.nowMs);
    const serving = peers.filter(peer => peer.phase === 'serving');
    limits.nodeCount = serving.length + 1;
    limits.nodesCountedAtMs = step.nowMs;
  }
  if (limits.nodeCount === 1) return limit;
  return Math.min(limit, (limit * UNEVEN_FACTOR) / limits.nodeCount);
}
