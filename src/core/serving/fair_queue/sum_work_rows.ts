import type {PeerView} from '../types.js';
import type {WorkRow} from './types.js';
import {decayWork} from './decay_work.js';
import {selectLargestRows} from './select_largest_rows.js';

/** Sums a relay's own rows and those of the digests that its summary covers, as of now; undefined if there are none. */
export function sumWorkRows(
  own: readonly WorkRow[] | undefined,
  views: readonly PeerView[],
  nowMs: number,
): WorkRow[] | undefined {
  const sums = new Map<string, WorkRow>();
  const add = (row: WorkRow, ageMs: number) => {
    const key = JSON.stringify([row.pool, row.organisationId]);
    const tokens = decayWork(row.tokens, ageMs) + (sums.get(key)?.tokens ?? 0);
    sums.set(key, {...row, tokens: Math.round(tokens)});
  };
  for (const row of own ?? []) add(row, 0);
  for (const {digest, atMs} of views) {
    for (const row of digest.work ?? []) add(row, nowMs - atMs);
  }
  return sums.size > 0 ? selectLargestRows([...sums.values()]) : undefined;
}
