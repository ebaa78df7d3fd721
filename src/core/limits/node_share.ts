import type {Step} from '../state/types.js';
import {livePeers} from '../membership/index.js';

const RECOUNT_MS = 1000;
/** Callers do not spread evenly over nodes; a node takes this much more than an even share. */
const UNEVEN_FACTOR = 1.5;

/** This node's part of a limit that holds for all nodes together; the whole of it when alone. */
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
