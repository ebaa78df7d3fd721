import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Random} from './random.js';

const UINT32_RANGE = 4294967296;

/** Creates a deterministic generator: equal seeds give equal sequences. */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = () => (generator.next() >>> 0) / UINT32_RANGE;
  return {
    next,
    nextInt: bound => Math.floor(next() * bound),
    token: () =>
      (generator.next() >>> 0).toString(36) +
      (generator.next() >>> 0).toString(36),
  };
}
