import type {OrganisationId} from '../core/ids/index.js';
import type {WorkRow} from '../core/serving/fair_queue/types.js';
import {isAmount} from './is_amount.js';

/** Rows that are read of one datagram; senders keep to it too. */
const MAX_ROWS = 24;
/** Larger amounts than any pool admits within the decay of the count are malformed. */
const MAX_TOKENS = 1e9;

/** Pool, organisation, tokens, and further organisations with their tokens. */
type PoolRow = readonly (string | number)[];

/** The rows of a datagram about admitted work. */
interface WorkRows {
  readonly O?: readonly PoolRow[];
}

/** Encodes admitted work as rows, one per pool, and decodes them; malformed parts are left out. */
export const workRows = {
  encode(work: readonly WorkRow[] | undefined): WorkRows {
    if (!work || work.length === 0) return {};
    const byPool = new Map<string, (string | number)[]>();
    for (const {pool, organisationId, tokens} of work) {
      const row = byPool.get(pool) ?? [pool];
      row.push(organisationId, Math.round(tokens));
      byPool.set(pool, row);
    }
    return {O: [...byPool.values()]};
  },

  decode({O}: WorkRows): {readonly work?: WorkRow[]} {
    if (!Array.isArray(O)) return {};
    const rows: readonly unknown[] = O;
    return {work: rows.flatMap(toRows).slice(0, MAX_ROWS)};
  },
};

function toRows(row: unknown): WorkRow[] {
  if (!Array.isArray(row) || typeof row[0] !== 'string') return [];
  const [pool, ...pairs] = row as [string, ...unknown[]];
  const rows: WorkRow[] = [];
  for (let at = 0; at + 1 < pairs.length; at += 2) {
    const [id, tokens] = pairs.slice(at, at + 2);
    if (typeof id !== 'string' || !isAmount(tokens)) continue;
    if (tokens > MAX_TOKENS) continue;
    rows.push({pool, organisationId: id as OrganisationId, tokens});
  }
  return rows;
}
