import type {DrainState} from './drain_state.js';

/** Creates the state of a node that is not draining. */
export function createDrainState(): DrainState {
  return {draining: false, startedAtMs: 0, exited: false};
}
