import type {Peer} from './peer.js';
import {MEMBERSHIP_TIMING} from './membership_timing.js';

/** Whether a peer is silent or does not receive this node's heartbeats; callers are not directed to it. */
export function isSuspected(peer: Peer, nowMs: number): boolean {
  if (peer.suspectedAtMs !== undefined) return true;
  if (peer.monitoredSinceMs === undefined) return false;
  if (peer.isNotReceiving) return true;
  const silentMs = nowMs - Math.max(peer.lastSeenAtMs, peer.monitoredSinceMs);
  return silentMs > MEMBERSHIP_TIMING.suspectAfterMs;
}
