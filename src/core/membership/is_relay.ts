import type {NodeState} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {hashText} from './hash_text.js';
import {livePeers} from './live_peers.js';

/** Whether this node is one of the few in its zone that watch the store on behalf of the others. */
export function isRelay(state: NodeState, nowMs: number): boolean {
  const {self} = state;
  if (!self.roles.relay) return false;
  const rank = (nodeId: string) => hashText(`relay ${self.zone} ${nodeId}`);
  const own = rank(self.nodeId);
  const before = livePeers(state, nowMs).filter(
    peer => peer.zone === self.zone && rank(peer.nodeId) < own,
  );
  return before.length < MEMBERSHIP_TIMING.relaysPerZone;
}
