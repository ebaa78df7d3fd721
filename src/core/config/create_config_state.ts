import type {ConfigState} from './config_state.js';

/** Creates the state of a node that has no configuration yet. */
export function createConfigState(): ConfigState {
  return {
    isCatchingUp: false,
    document: {revision: 0, services: new Map(), organisations: new Map()},
  };
}
