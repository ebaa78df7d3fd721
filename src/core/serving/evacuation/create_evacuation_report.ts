import type {EvacuationReport} from './types.js';
import type {ServingState} from '../types.js';
import {toAgeMs} from '../to_age_ms.js';

/** Creates the report of this node's view for a digest. `provenAtMs`: time of the proof that it gives; undefined if the evacuations are unknown. */
export function createEvacuationReport(
  {evacuation}: ServingState,
  provenAtMs: number,
  nowMs: number,
): EvacuationReport | undefined {
  const {storeVersion, zones, keptZones} = evacuation;
  if (storeVersion === undefined) return undefined;
  return {
    storeVersion,
    zones: [...zones],
    keptZones: [...keptZones],
    proofAgeMs: toAgeMs(provenAtMs, nowMs),
  };
}
