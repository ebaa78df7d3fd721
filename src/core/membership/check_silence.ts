import type {Step} from '../state/types.js';
import {isSuspected} from './is_suspected.js';

/** Marks monitored peers whose heartbeats have stopped as suspected and gossips it. */
export function checkSilence(step: Step): void {
  const {membership} = step.state;
  for (const nodeId of membership.monitored) {
    const peer = membership.peers.get(nodeId);
    if (!peer || peer.suspectedAtMs !== undefined) continue;
    if (!isSuspected(peer, step.nowMs)) continue;
    peer.suspectedAtMs = step.nowMs;
    membership.isRingStale = true;
    membership.gossip.add(nodeId);
  }
}
