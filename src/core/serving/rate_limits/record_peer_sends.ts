import type {DigestLoad, PeerKey, ServingState} from '../types.js';
import type {PeerSends} from './types.js';
import {countRecent} from './count_recent.js';

/** Replaces a peer's counts of recent sends by those of its latest digest. Engines that it does not name keep theirs, which decays. */
export function recordPeerSends(
  {rateLimits}: ServingState,
  key: PeerKey,
  loads: readonly DigestLoad[],
  nowMs: number,
): void {
  const {peerSends} = rateLimits;
  for (const {vmId, recentSends: count} of loads) {
    if (count === undefined) continue;
    let sends: PeerSends | undefined = peerSends.get(vmId);
    if (!sends) {
      sends = {byPeer: new Map(), total: {count: 0, atMs: nowMs}};
      peerSends.set(vmId, sends);
    }
    const before = countRecent(sends.byPeer.get(key), nowMs);
    const total = countRecent(sends.total, nowMs) - before + count;
    sends.total = {count: Math.max(0, total), atMs: nowMs};
    sends.byPeer.set(key, {count, atMs: nowMs});
  }
}
