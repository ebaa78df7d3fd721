import type {StewardState} from './types.js';

/** Creates the state of a node without the steward's lease. `hasTraffic`: requests may already flow, since this is not the first start of the whole system. */
export function createStewardState(hasTraffic: boolean): StewardState {
  return {
    leaseUntilMs: -Infinity,
    hasReadEngines: false,
    epochCount: 0,
    plannedAtMs: -Infinity,
    planningPausedUntilMs: -Infinity,
    tracks: new Map(),
    releasedReplicas: new Map(),
    sentAtMs: new Map(),
    probes: new Map(),
    slowEngines: new Map(),
    probeRequests: new Map(),
    weightLoadEndsMs: new Map(),
    reservedDomains: new Map(),
    weightLoadStartsMs: [],
    warmWaitSinceMs: new Map(),
    workShares: new Map(),
    sharesMeasuredAtMs: -Infinity,
    reallocatedAtMs: -Infinity,
    hasTraffic,
  };
}
