import type {RestoreState} from './types.js';

/** The state of a node that has heard of no era of the store. */
export function createRestoreState(): RestoreState {
  return {sinceMs: -Infinity, isRelistDue: false};
}
