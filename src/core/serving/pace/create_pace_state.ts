import type {PaceState} from './types.js';

/** Creates the state of a node that has seen no targets. */
export function createPaceState(): PaceState {
  return {records: new Map(), ranks: new Map()};
}
