import type {PrefixWatch} from './prefix_watch.js';

/** Creates a view that has not been read yet. */
export function createPrefixWatch(prefix: string): PrefixWatch {
  return {
    prefix,
    kind: 'list',
    sentAtMs: 0,
    confirmSentAtMs: 0,
    nextAtMs: 0,
    isListed: false,
    revision: 0,
    confirmedAtMs: -Infinity,
    entries: new Map(),
  };
}
