import type {CreditsState} from './credits_state.js';

/** Creates a state without credits. */
export function createCreditsState(): CreditsState {
  return {groups: new Map(), books: new Map()};
}
