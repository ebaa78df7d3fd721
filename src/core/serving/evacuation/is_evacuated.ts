import type {ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';

/** Whether the operator has evacuated a zone, as far as this node knows. */
export function isEvacuated(
  {evacuation}: Pick<ServingState, 'evacuation'>,
  zone: ZoneId,
): boolean {
  return evacuation.zones.has(zone) || evacuation.keptZones.has(zone);
}
