import type {CrashState} from './types.js';

/** Creates the state of a node that knows of no crashes. */
export function createCrashState(): CrashState {
  return {
    checks: new Map(),
    reports: new Map(),
    lastLossAtMs: new Map(),
    survivals: new Map(),
    suspects: new Map(),
    cleared: new Map(),
    soundPartIds: new Set(),
    survivedByPool: new Map(),
    isStale: false,
    hasCandidate: false,
  };
}
