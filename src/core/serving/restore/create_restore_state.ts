import type {RestoreState} from './types.js';

/** Creates the state of a node that does not know the store's era yet. */
export function createRestoreState(): RestoreState {
  return {
    eraChangedAtMs: -Infinity,
    heldProofAtMs: -Infinity,
    isRelistPending: false,
  };
}
