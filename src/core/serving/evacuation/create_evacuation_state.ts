import type {EvacuationState} from './types.js';

/** Creates the state of a node that does not know the evacuations yet. */
export function createEvacuationState(isEnabled: boolean): EvacuationState {
  return {
    isEnabled,
    zones: new Set(),
    keptZones: new Set(),
    readAtMs: -Infinity,
    provenAtMs: -Infinity,
    returnedAtMsByZone: new Map(),
    evacuatedPools: new Set(),
  };
}
