import type {StewardState} from './types.js';

/** The state of a node that is not steward. `hasTraffic`: callers may be there already, since the whole system doesn't start for the first time. */
export function createStewardState(hasTraffic: boolean): StewardState {
  return {
    leaseUntilMs: -Infinity,
    hasReadEngines: false,
    epochCount: 0,
    plannedAtMs: -Infinity,
    pausedUntilMs: -Infinity,
    tracks: new Map(),
    released: new Map(),
    sentAtMs: new Map(),
    probes: new Map(),
    slowEngines: new Map(),
    asks: new Map(),
    engineAnsweredAtMs: -Infinity,
    loadEndsMs: new Map(),
    reserved: new Map(),
    loadStartsMs: [],
    coldSinceMs: new Map(),
    hasTraffic,
  };
}
