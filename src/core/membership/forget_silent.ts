import type {Step} from '../state/types.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';
import {isStoreUp} from './is_store_up.js';
import {isSuspected} from './is_suspected.js';

/** Forgets peers that stayed silent. While the store is down, nobody can say that they are gone. */
export function forgetSilent(step: Step): void {
  const {state, nowMs} = step;
  if (!isStoreUp(state, nowMs)) return;
  for (const peer of state.membership.peers.values()) {
    if (!isSuspected(peer, nowMs)) continue;
    const silentMs = nowMs - (peer.suspectedAtMs ?? peer.heardAtMs);
    if (silentMs < MEMBERSHIP_TIMING.forgetAfterMs) continue;
    state.membership.peers.delete(peer.nodeId);
    state.membership.isRingStale = true;
    state.membership.arePeersStale = true;
  }
}
