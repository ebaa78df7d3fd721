import type {ConfigState} from './config_state.js';

/** Creates the state of a node that has no configuration yet. */
export function createConfigState(): ConfigState {
  return {
    document: {revision: 0, services: new Map(), organisations: new Map()},
    isCatchingUp: false,
    texts: new Map(),
    removed: new Map(),
    floorRevision: 0,
    publications: [],
    headVersion: 0,
    hasReadHead: false,
    jobs: new Map(),
    calls: new Map(),
    catchUpSinceMs: 0,
    nextHeadAtMs: 0,
    nextWatchAtMs: 0,
    nextPullAtMs: 0,
  };
}
