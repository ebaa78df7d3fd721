import type {EvacuationReading} from './types.js';
import type {ServingStep} from '../types.js';
import {adoptReading} from './adopt_reading.js';

interface ProvenReading extends EvacuationReading {
  /** Node time at which the store is known to have held no newer one. */
  readonly provenAtMs: number;
}

/** Applies the evacuated zones that this node has read from the store. */
export function applyEvacuationReading(
  step: ServingStep,
  {storeVersion, zones, provenAtMs}: ProvenReading,
): void {
  const {evacuation} = step.state;
  if (!evacuation.isEnabled) return;
  evacuation.readAtMs = Math.max(evacuation.readAtMs, provenAtMs);
  evacuation.provenAtMs = Math.max(evacuation.provenAtMs, provenAtMs);
  adoptReading(step, {storeVersion, zones, keptZones: []}, 'the store');
}
