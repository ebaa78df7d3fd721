import type {FairQueueState, PoolWork} from './types.js';

/** Returns the record of a pool, and creates it if there is none. */
export function resolvePoolWork(
  {pools}: FairQueueState,
  pool: string,
  nowMs: number,
): PoolWork {
  let work = pools.get(pool);
  if (!work) {
    work = {
      own: new Map(),
      peers: new Map(),
      dispatches: {count: 0, atMs: nowMs},
      countedSinceMs: nowMs,
      byPriority: new Map(),
      levelTokens: Infinity,
      bookedUntilMs: -Infinity,
      overServedLoggedAtMs: -Infinity,
    };
    pools.set(pool, work);
  }
  return work;
}
