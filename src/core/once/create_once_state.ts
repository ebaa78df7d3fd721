import type {OnceState} from './once_state.js';

/** Creates the ledger state of a node without claims. */
export function createOnceState(): OnceState {
  return {
    claims: new Map(),
    operations: new Map(),
    retries: new Set(),
    sweep: {nextAtMs: 0, afterKey: ''},
  };
}
