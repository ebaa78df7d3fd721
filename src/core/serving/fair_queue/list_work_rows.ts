import type {ServingState} from '../types.js';
import type {WorkRow} from './types.js';
import {countWork} from './count_work.js';
import {resolveWeights} from './resolve_weights.js';
import {selectLargestRows} from './select_largest_rows.js';

/** Smaller counts are left out; one request counts as more for some seconds. */
const MIN_TOKENS = 100;

/** Returns the rows of this node's own digest; undefined where the mechanism is disabled or there is no recent work. */
export function listWorkRows(
  state: ServingState,
  nowMs: number,
): WorkRow[] | undefined {
  if (!resolveWeights(state)) return undefined;
  const rows: WorkRow[] = [];
  for (const [pool, {own}] of state.fairQueue.pools) {
    for (const [organisationId, recent] of own) {
      const tokens = Math.round(countWork(recent, nowMs));
      if (tokens >= MIN_TOKENS) rows.push({pool, organisationId, tokens});
    }
  }
  return rows.length > 0 ? selectLargestRows(rows) : undefined;
}
