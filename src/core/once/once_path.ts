import type {OnceKey} from '../ids/index.js';

const ONCE_PREFIX = 'once/';

/** Store key of an idempotency key's entry; without an argument, the common prefix of all entries. */
export function oncePath(onceKey?: OnceKey): string {
  return ONCE_PREFIX + (onceKey ?? '');
}
