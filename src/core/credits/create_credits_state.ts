import type {CreditsState} from './credits_state.js';

/** Creates the state of a node that neither borrows nor lends credits. */
export function createCreditsState(): CreditsState {
  return {groups: new Map(), books: new Map()};
}
