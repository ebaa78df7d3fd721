import type {ServingState} from '../types.js';
import type {VmId} from '../../ids/index.js';

/** Returns the requests per second that an engine takes from all nodes together; undefined if it names no limit. */
export function findLimitPerS(
  {engines, rateLimits}: ServingState,
  vmId: VmId,
): number | undefined {
  const limit = rateLimits.limits.get(vmId);
  if (!limit || engines.get(vmId)?.bornAtMs !== limit.bornAtMs) {
    return undefined;
  }
  return limit.perS;
}
