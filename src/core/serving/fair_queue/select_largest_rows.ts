import type {WorkRow} from './types.js';

/** Maximum number of rows per sender; a digest is sent ten times a second. */
const MAX_ROWS = 24;

/** Returns the rows with the largest shares of their pools, so that a pool with little work is represented too. */
export function selectLargestRows(rows: readonly WorkRow[]): WorkRow[] {
  const totals = new Map<string, number>();
  for (const {pool, tokens} of rows) {
    totals.set(pool, (totals.get(pool) ?? 0) + tokens);
  }
  const shareOf = ({pool, tokens}: WorkRow) => tokens / totals.get(pool)!;
  return [...rows].sort((a, b) => shareOf(b) - shareOf(a)).slice(0, MAX_ROWS);
}
