import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isStoreUp} from './is_store_up.js';
import {isSuspected} from './is_suspected.js';

/**
 * Removes peers that have been silent for too long. None is removed while the
 * store is down, since a lost peer then cannot be distinguished from one that is
 * merely cut off.
 */
export function removeSilentPeers(step: Step): void {
  const {state, nowMs} = step;
  if (!isStoreUp(state, nowMs)) return;
  for (const peer of state.membership.peers.values()) {
    if (!isSuspected(peer, nowMs)) continue;
    const silentMs = nowMs - (peer.suspectedAtMs ?? peer.lastSeenAtMs);
    if (silentMs < MEMBERSHIP_TIMING.forgetAfterMs) continue;
    state.membership.peers.delete(peer.nodeId);
    state.membership.isRingStale = true;
    state.membership.arePeersStale = true;
  }
}
