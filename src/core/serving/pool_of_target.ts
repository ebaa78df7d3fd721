import type {ServingTarget} from './types.js';
import {poolKey} from './pool_key.js';

/** Key of the pool that a target belongs to. */
export function poolOfTarget({
  engine,
  costs,
}: Pick<ServingTarget, 'engine' | 'costs'>): string {
  return poolKey(engine.service, costs ? engine.models[0] : undefined);
}
