import type {RequestRecord, ServingState} from '../types.js';
import {measureService} from './measure_service.js';

/** Multiple of the average service above which an organisation is over-served; counts of peers lag by a digest. */
const OVER_SERVED_FACTOR = 1.25;

/** Whether a request's organisation lately had more than its share of the pool, by all nodes together. */
export function isOverServed(
  state: ServingState,
  {pool, organisationId}: RequestRecord,
  nowMs: number,
): boolean {
  const work = state.fairQueue.pools.get(pool);
  if (!work || organisationId === undefined) return false;
  const service = measureService(state, pool, organisationId, nowMs);
  return service > OVER_SERVED_FACTOR * work.levelTokens;
}
