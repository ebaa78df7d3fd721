import type {OnceKey} from '../ids/index.js';

const ONCE_PREFIX = 'once/';

/** Key of the store that holds the entry of an idempotency key; without one, the prefix of all. */
export function oncePath(onceKey?: OnceKey): string {
  return ONCE_PREFIX + (onceKey ?? '');
}
