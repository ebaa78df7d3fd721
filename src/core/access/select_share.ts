import type {RouteShare} from './types.js';
import type {ServiceName} from '../ids/index.js';

/** Selects a service by weight; undefined without shares. `chance` is a uniform random number in [0, 1). */
export function selectShare(
  shares: readonly RouteShare[],
  chance: number,
): ServiceName | undefined {
  let total = 0;
  for (const {weight} of shares) total += weight;
  let left = chance * total;
  for (const {service, weight} of shares) {
    left -= weight;
    if (left < 0) return service;
  }
  return shares.at(-1)?.service;
}
