import type {StewardState} from './types.js';

/** The state of a node that is not steward. */
export function createStewardState(): StewardState {
  return {
    leaseUntilMs: -Infinity,
    epochCount: 0,
    plannedAtMs: -Infinity,
    tracks: new Map(),
    released: new Set(),
    sentAtMs: new Map(),
    probes: new Map(),
    slowEngines: new Map(),
    engineAnsweredAtMs: -Infinity,
    loadEndsMs: new Map(),
    reserved: new Map(),
    loadStartsMs: [],
    coldSinceMs: new Map(),
    hasTraffic: false,
  };
}
