import type {RetryCount} from './types.js';
import type {ServingState} from '../types.js';
import {hasKnownWindow} from './has_known_window.js';
import {retryBudget} from './retry_budget.js';

/** Lists the retries in this node's window for its peers; undefined while an earlier process may have made others. */
export function listRetryCounts(
  state: ServingState,
  nowMs: number,
): RetryCount[] | undefined {
  if (!hasKnownWindow(state, nowMs)) return undefined;
  return [...state.retries.windows.keys()].flatMap(service => {
    const {used} = retryBudget.usage(state, service, nowMs);
    return used > 0 ? [{service, count: used}] : [];
  });
}
