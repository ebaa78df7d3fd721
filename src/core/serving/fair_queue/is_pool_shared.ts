import type {ServingState} from '../types.js';
import {resolveWeights} from './resolve_weights.js';

/** Whether a pool was lately used or waited for by more than one organisation, or by requests of more than one priority, as of the last ordering. Otherwise there is nothing to share, and order and refusals are as without the mechanism. */
export function isPoolShared(state: ServingState, pool: string): boolean {
  if (!resolveWeights(state)) return false;
  const work = state.fairQueue.pools.get(pool);
  if (!work) return false;
  return work.levelTokens < Infinity || work.byPriority.size > 1;
}
