import type {PeerKey, ServingState} from '../types.js';
import type {PeerWork, WorkRow} from './types.js';
import {countWork} from './count_work.js';
import {resolvePoolWork} from './resolve_pool_work.js';

/** Replaces what a sender reported earlier by the rows of its latest digest. Organisations that it does not name keep their counts, which decay. */
export function recordPeerWork(
  {fairQueue}: ServingState,
  key: PeerKey,
  rows: readonly WorkRow[],
  nowMs: number,
): void {
  for (const {pool, organisationId, tokens} of rows) {
    const {peers} = resolvePoolWork(fairQueue, pool, nowMs);
    let work: PeerWork | undefined = peers.get(organisationId);
    if (!work) {
      work = {byPeer: new Map(), total: {count: 0, atMs: nowMs}};
      peers.set(organisationId, work);
    }
    const before = countWork(work.byPeer.get(key), nowMs);
    const total = countWork(work.total, nowMs) - before + tokens;
    work.total = {count: Math.max(0, total), atMs: nowMs};
    work.byPeer.set(key, {count: tokens, atMs: nowMs});
  }
}
