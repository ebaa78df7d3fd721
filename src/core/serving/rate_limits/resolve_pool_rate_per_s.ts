import type {RequestRecord, ServingState} from '../types.js';
import {findLimitPerS} from './find_limit_per_s.js';
import {isBackoffActive} from '../announcements/index.js';
import {resolveRatePerS} from './resolve_rate_per_s.js';

/** Returns the requests per second that the targets left for a request take from all nodes together; undefined if there are none, or one without a limit. */
export function resolvePoolRatePerS(
  state: ServingState,
  record: RequestRecord,
  nowMs: number,
): number | undefined {
  let ratePerS = 0;
  for (const {vmId} of state.targetsByPool.get(record.pool) ?? []) {
    if (record.triedTargets.has(vmId)) continue;
    if (isBackoffActive(state, vmId, nowMs)) continue;
    const limitPerS = findLimitPerS(state, vmId);
    if (limitPerS === undefined) return undefined;
    ratePerS += resolveRatePerS(limitPerS);
  }
  return ratePerS === 0 ? undefined : ratePerS;
}
