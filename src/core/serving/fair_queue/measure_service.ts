import type {OrganisationId} from '../../ids/index.js';
import type {ServingState} from '../types.js';
import {countWork} from './count_work.js';

/** Returns the work that all nodes recently admitted for an organisation in a pool, relative to its weight. Requests without an organisation count as none. */
export function measureService(
  {fairQueue}: ServingState,
  pool: string,
  organisationId: OrganisationId | undefined,
  nowMs: number,
): number {
  const work = fairQueue.pools.get(pool);
  if (!work || organisationId === undefined) return 0;
  const tokens =
    countWork(work.own.get(organisationId), nowMs) +
    countWork(work.peers.get(organisationId)?.total, nowMs);
  return tokens / (fairQueue.weights?.get(organisationId) ?? 1);
}
