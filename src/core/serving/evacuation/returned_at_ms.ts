import type {ServingState} from '../types.js';
import type {ZoneId} from '../../ids/index.js';

/** When this node learned that a zone was returned to service; undefined if it has not been evacuated since the node's start, or still is. */
export function returnedAtMs(
  {evacuation}: ServingState,
  zone: ZoneId,
): number | undefined {
  return evacuation.returnedAtMsByZone.get(zone);
}
